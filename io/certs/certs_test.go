package certs_test

import (
	"crypto/tls"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/internal/fake"
	"jayshift/io/certs"
)

// TestFilesAreReadAgain replaces the files under a listening address.
func TestFilesAreReadAgain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certificate, key, err := fake.IssueCertificate(dir, 1)
	is.NoErr(err)
	c, err := certs.New(certificate, key, certificate)
	is.NoErr(err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", c.Server())
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
	}()
	serial := func() int64 {
		conn, err := tls.Dial("tcp", l.Addr().String(), c.Client())
		if err != nil {
			return 0
		}
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	_, _, err = fake.IssueCertificate(dir, 2)
	is.NoErr(err)
	for deadline := time.Now().Add(20 * time.Second); serial() != 2; time.Sleep(50 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the new certificate is used
	}
	is.NoErr(os.WriteFile(key, []byte("broken"), 0o600))
	is.Equal(serial(), int64(2)) // the last good files stay in force
	_, err = certs.New(certificate, key, "")
	is.True(errors.Is(err, certs.ErrFiles))
}
