package host_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"jayshift/internal/fake"
	"jayshift/internal/fleet"
	"jayshift/io/certs"
	"jayshift/io/client"
)

// TestTLS starts a fleet that uses TLS for callers, operators and links, with an operator token and a link secret.
// Requests without the token, without TLS or without the link secret must not be served.
func TestTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dir := t.TempDir()
	certificate, key, err := fake.IssueCertificate(dir, 1)
	is.NoErr(err)
	token := filepath.Join(dir, "token")
	is.NoErr(os.WriteFile(token, []byte("operators-only\n"), 0o600))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{Hosts: 3, Regions: 3, Settings: "[tls]\ncertificate=" + certificate + "\nkey=" + key +
		"\nauthority=" + certificate + "\n[operator]\ntoken-file=" + token + "\n[fleet]\nsecret-file=" + token + "\n"})
	is.NoErr(err) // the links are open
	defer f.Close()
	roots, err := certs.LoadRoots(certificate)
	is.NoErr(err)
	_, err = client.NewTLS(f.Hosts[0].Addresses().Operator, "", roots).Hosts(ctx)
	is.True(err != nil) // no token
	hosts, err := client.NewTLS(f.Hosts[0].Addresses().Operator, "operators-only", roots).Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(hosts), 3)
	got := readCall("", "/v1/steer").send(http.DefaultClient, f.Entries()[0])
	is.True(got.status != http.StatusOK) // no answer without TLS
	response, err := http.Get("http://" + f.Hosts[0].Addresses().Link + "/v1/link")
	if err == nil {
		_ = response.Body.Close()
		is.True(response.StatusCode != http.StatusOK)
	}
}
