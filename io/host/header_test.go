package host_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOddHeaders sends 300 requests with unusual or invalid header values from a fixed seed. Each must get a response,
// and normal requests must still be served afterwards.
func TestOddHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	random := rand.New(rand.NewPCG(20261204, 1))
	values := []string{"", "0", "-1", "99999999999999999999", "\t", "Bearer", "bearer " + key, "Bearer " + key + " x", "é", strings.Repeat("k", 5000), "a,b", "1e9", "close"}
	names := []string{"Authorization", "Idempotency-Key", "Jayshift-Deadline-Ms", "Jayshift-Attempt", "Connection", "Cookie", "Content-Type", "Jayshift-Team"}
	for i := range 300 {
		method := []string{http.MethodGet, http.MethodPost, http.MethodHead, http.MethodDelete, "ODD"}[random.IntN(5)]
		path := []string{"/whistle/a", "/whistle//a/../b", "/", "/v1/steer?client=nonsense", "/v1/other"}[random.IntN(5)]
		r, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.Entries()[i%3]+path, strings.NewReader(fmt.Sprint(i)))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+key)
		for range random.IntN(4) {
			r.Header[names[random.IntN(len(names))]] = []string{values[random.IntN(len(values))]}
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			is.True(strings.Contains(err.Error(), "invalid header")) // rejected by the caller's HTTP client
			continue
		}
		is.True(response.StatusCode < http.StatusInternalServerError || response.Header.Get("Content-Type") == "application/problem+json")
		_ = response.Body.Close()
	}
	for _, entry := range f.Entries() {
		is.Equal(readCall(key, "/whistle/read/1").send(http.DefaultClient, entry).status, http.StatusOK)
	}
}
