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

// TestFilesAreReadAgain replaces the files of a running listener. It must use the new certificate, and keep the last
// usable one when the files are broken.
func TestFilesAreReadAgain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certificate, key, err := fake.IssueCertificate(dir, 1)
	is.NoErr(err)
	c, err := certs.New(certificate, key, certificate)
	is.NoErr(err)
	l, err := tls.Listen("tcp", "127.0.0.1:0", c.ServerConfig())
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
		conn, err := tls.Dial("tcp", l.Addr().String(), c.ClientConfig())
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
		is.True(time.Now().Before(deadline)) // the new certificate is used in time
	}
	is.NoErr(os.WriteFile(key, []byte("broken"), 0o600))
	is.Equal(serial(), int64(2)) // the last usable certificate stays in use
	_, err = certs.New(certificate, key, "")
	is.True(errors.Is(err, certs.ErrFiles))
}
