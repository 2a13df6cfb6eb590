package limit_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"jayshift/core/limit"
)

func TestParseRate(t *testing.T) {
	for text, want := range map[string]limit.Rate{"3.1": 3.1, " 2 ": 2, "0": 0.05, "1e3": 1000, "0.001": 0.05, "1e400": 1e6, "Inf": 1e6} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			got, err := limit.ParseRate(text)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
	for _, text := range []string{"", "x", "-1", "NaN", "-Inf", "3,1", "3 per second"} {
		t.Run(text, func(t *testing.T) {
			_, err := limit.ParseRate(text)
			is.New(t).True(errors.Is(err, limit.ErrInvalid))
		})
	}
}

// FuzzParseRate checks that a rate is always within its bounds.
func FuzzParseRate(f *testing.F) {
	for _, text := range []string{"3.1", "0", "-1", "1e999", "NaN"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, err := limit.ParseRate(text)
		if err == nil && !(rate >= 0.05 && rate <= 1e6) {
			t.Errorf("%q: %v", text, rate)
		}
	})
}
