// Package certs holds a host's TLS files, which are read again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// recheck is the least time between two looks at the files.
const recheck = 1 * time.Second

// ErrFiles means that the TLS files cannot be used.
var ErrFiles = merry.Sentinel("TLS files cannot be used")

// Certs gives the newest usable certificate and authorities.
type Certs struct {
	certificate string
	key         string
	authority   string

	mu      sync.Mutex
	looked  time.Time
	changed time.Time
	pair    *tls.Certificate
	roots   *x509.CertPool
}

// New reads the files; the authority may be empty, for the system's own.
func New(certificate, key, authority string) (*Certs, error) {
	c := &Certs{certificate: certificate, key: key, authority: authority}
	return c, c.read()
}

func (c *Certs) read() error {
	pair, err := tls.LoadX509KeyPair(c.certificate, c.key)
	if err != nil {
		return merry.Prepend(ErrFiles, err.Error())
	}
	var roots *x509.CertPool
	if c.authority != "" {
		if roots, err = Roots(c.authority); err != nil {
			return err
		}
	}
	c.pair, c.roots = &pair, roots
	return nil
}

// Roots reads the authorities of a PEM file.
func Roots(path string) (*x509.CertPool, error) {
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

// refresh reads the files again when one of them changed. Files that cannot be used leave the last good ones in force.
func (c *Certs) refresh() {
	now := time.Now()
	if now.Sub(c.looked) < recheck {
		return
	}
	c.looked = now
	newest := time.Time{}
	for _, path := range []string{c.certificate, c.key, c.authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if newest.After(c.changed) && c.read() == nil {
		c.changed = newest
	}
}

// Server returns the settings of a listening address.
func (c *Certs) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refresh()
		return c.pair, nil
	}}
}

// Client returns the settings of a link to another host, with the authorities as they are now.
func (c *Certs) Client() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh()
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: c.roots}
}
