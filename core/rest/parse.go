package rest

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRest is the longest rest that is believed.
const MaxRest = 5 * time.Minute

// parse returns the end of the longest rest that the values of Retry-After name, each in seconds or as a date. It returns
// false if none names a time in the future.
func parse(now time.Time, values []string) (time.Time, bool) {
	end := now
	for _, v := range values {
		for _, e := range parseValue(now, v) {
			if e.After(end) {
				end = e
			}
		}
	}
	return end, end.After(now)
}

// parseValue returns the ends that one value names: a date, or seconds, which may be several if a proxy has joined headers.
func parseValue(now time.Time, v string) []time.Time {
	if date, err := http.ParseTime(strings.TrimSpace(v)); err == nil {
		return []time.Time{earlier(date, now.Add(MaxRest))}
	}
	var ends []time.Time
	for _, field := range strings.Split(v, ",") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 {
			continue
		}
		ends = append(ends, now.Add(time.Duration(min(seconds, MaxRest.Seconds())*float64(time.Second))))
	}
	return ends
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
