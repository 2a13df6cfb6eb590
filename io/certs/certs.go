// Package certs provides TLS configurations from certificate files, which it reloads when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// recheckInterval is the minimum time between two checks of the modification times of the files.
const recheckInterval = 1 * time.Second

// ErrFiles means that the TLS files cannot be used.
var ErrFiles = merry.Sentinel("TLS files cannot be used")

// Reloader holds the certificate and the certificate authorities of the newest files that could be loaded. It is safe
// for concurrent use.
type Reloader struct {
	certPath string
	keyPath  string
	caPath   string

	mu            sync.Mutex
	checkedAt     time.Time // time of the last check for changes
	loadedModTime time.Time // newest modification time of the loaded files
	certificate   *tls.Certificate
	roots         *x509.CertPool // nil for the system's authorities
}

// New loads a certificate, its private key and the certificate authorities from PEM files. An empty caPath selects the
// system's authorities. It returns ErrFiles if a file cannot be used.
func New(certPath, keyPath, caPath string) (*Reloader, error) {
	r := &Reloader{certPath: certPath, keyPath: keyPath, caPath: caPath}
	return r, r.load()
}

func (r *Reloader) load() error {
	certificate, err := tls.LoadX509KeyPair(r.certPath, r.keyPath)
	if err != nil {
		return merry.Prepend(ErrFiles, err.Error())
	}
	var roots *x509.CertPool
	if r.caPath != "" {
		if roots, err = LoadRoots(r.caPath); err != nil {
			return err
		}
	}
	r.certificate, r.roots = &certificate, roots
	return nil
}

// LoadRoots reads certificate authorities from a PEM file. It returns ErrFiles if the file cannot be read or has no
// certificate.
func LoadRoots(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrFiles, err.Error())
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, merry.Prepend(ErrFiles, "no certificate in "+path)
	}
	return roots, nil
}

// reloadIfChanged loads the files again if one of them was modified, at most once every recheckInterval. If they cannot
// be loaded, the previous ones stay in use and the next check loads again. The caller must hold mu.
func (r *Reloader) reloadIfChanged() {
	now := time.Now()
	if now.Sub(r.checkedAt) < recheckInterval {
		return
	}
	r.checkedAt = now
	newestModTime := time.Time{}
	for _, path := range []string{r.certPath, r.keyPath, r.caPath} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newestModTime) {
			newestModTime = info.ModTime()
		}
	}
	if newestModTime.After(r.loadedModTime) && r.load() == nil {
		r.loadedModTime = newestModTime
	}
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the newest certificate.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reloadIfChanged()
		return r.certificate, nil
	}}
}

// ClientConfig returns the TLS configuration of a connection to another host, with the current authorities. It does not
// follow later changes of the files.
func (r *Reloader) ClientConfig() *tls.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadIfChanged()
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: r.roots}
}
