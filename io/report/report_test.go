package report_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/report"
)

const metrics = `# TYPE jayshift_burn_requests gauge
jayshift_burn_requests{service="whistle",team="north",shift="strike",window="5m0s"} 1000
jayshift_burn_requests{service="whistle",team="north",shift="strike",window="1h0m0s"} 10000
# TYPE jayshift_burn_bad gauge
jayshift_burn_bad{service="whistle",team="north",shift="strike",window="5m0s"} 20
jayshift_burn_bad{service="whistle",team="north",shift="strike",window="1h0m0s"} 20
`

func serveMetrics(t *testing.T, text string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestReport reads four entry hosts. The metrics of two are summed up; one that sends invalid metrics and one that is
// unreachable are listed as missing.
func TestReport(t *testing.T) {
	is := is.New(t)
	admins := []string{serveMetrics(t, metrics), serveMetrics(t, metrics), serveMetrics(t, "{nonsense"), "127.0.0.1:1"}
	r, err := report.Read(context.Background(), admins, map[string]float64{"whistle": 0.99})
	is.NoErr(err)
	is.Equal(len(r.Entries), 2)
	is.Equal(len(r.Missing), 2) // both failures are listed
	is.Equal(len(r.Lines), 1)
	is.Equal(r.Lines[0].Short.Total, int64(2000))
	is.True(r.Lines[0].Fast > 1.99 && r.Lines[0].Fast < 2.01)
	is.True(r.Lines[0].Slow > 0.19 && r.Lines[0].Slow < 0.21)
	is.True(strings.Contains(r.Text(), "MISSING entry 127.0.0.1:1"))
	page, err := r.HTML()
	is.NoErr(err)
	is.True(strings.Contains(page, "<svg") && strings.Contains(page, "127.0.0.1:1"))
	is.True(!strings.Contains(page, "http-equiv") && !strings.Contains(page, "<script"))
	text, err := r.JSON()
	is.NoErr(err)
	is.True(strings.Contains(text, `"short-burn"`))
	_, err = report.Read(context.Background(), []string{"127.0.0.1:1"}, nil)
	is.True(errors.Is(err, report.ErrNoEntry))
}
