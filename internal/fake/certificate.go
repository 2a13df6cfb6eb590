package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// IssueCertificate writes a self-signed certificate for 127.0.0.1 and its key into the folder.
func IssueCertificate(dir string, serial int64) (certificate, key string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return "", "", err
	}
	secret, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return "", "", err
	}
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	if err := writePEM(certificate, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certificate, key, writePEM(key, "EC PRIVATE KEY", secret)
}

func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
