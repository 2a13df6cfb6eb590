package ticker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayshift/io/ticker"
)

// TestEvery checks the number of calls within a time, and that the calls end with the context.
func TestEvery(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		const period = 100 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		rounds := 0
		go ticker.Every(ctx, period, func() { rounds++ })
		time.Sleep(10*period + period/2)
		cancel()
		synctest.Wait()
		is.Equal(rounds, 10)
		time.Sleep(period)
		is.Equal(rounds, 10)
	})
}
