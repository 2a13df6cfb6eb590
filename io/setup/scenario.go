package setup

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/model"
)

var (
	errNumber = merry.Sentinel("must be a number above zero")
	errCounts = merry.Sentinel("must be whole numbers, separated by commas")
)

type scenario = model.Scenario

// scenarioTable lists all settings of a scenario for the model. The defaults describe the heavy load scenario.
var scenarioTable = []setting[scenario]{
	{"scenario", "name", "heavy", "", "Name in the tables.", textField(func(s *scenario) *string { return &s.Name })},
	{"scenario", "length", "30s", "time", "How long callers come.", durationField(func(s *scenario) *time.Duration { return &s.Duration })},
	{"places", "regions", "3", "", "Regions, each with the same callers.", countField(func(s *scenario) *int { return &s.Regions })},
	{"places", "zones", "2", "", "Availability zones of a region.", countField(func(s *scenario) *int { return &s.Zones })},
	{"places", "hosts", "2", "", "Hosts in each zone.", countField(func(s *scenario) *int { return &s.Hosts })},
	{"places", "far-trip", "110ms", "time", "To another region and back.", durationField(func(s *scenario) *time.Duration { return &s.InterRegionRTT })},
	{"servers", "in-zone", "1,4,4", "", "Backend servers in each zone, region by region.", countsField(func(s *scenario) *[]int { return &s.Servers })},
	{"servers", "slots", "6", "requests", "Requests that a server runs at once.", countField(func(s *scenario) *int { return &s.Slots })},
	{"servers", "queue", "18", "requests", "Requests that may wait at a server.", countField(func(s *scenario) *int { return &s.QueueLimit })},
	{"servers", "remembers", "65", "objects", "Objects that a server runs faster.", countField(func(s *scenario) *int { return &s.CacheSize })},
	{"servers", "cold", "360ms", "time", "A run on an object that the server does not remember.", durationField(func(s *scenario) *time.Duration { return &s.ColdRunTime })},
	{"servers", "warm", "108ms", "time", "A run on an object that it remembers.", durationField(func(s *scenario) *time.Duration { return &s.WarmRunTime })},
	{"servers", "spread", "0.15", "", "Spread of the time of runs, as a share of it.", numberField(func(s *scenario) *float64 { return &s.RunTimeSpread })},
	{"callers", "rate", "150", "1/s", "Requests a second in each region.", numberField(func(s *scenario) *float64 { return &s.Rate })},
	{"callers", "objects", "93", "objects", "Objects that the callers of a region ask for.", countField(func(s *scenario) *int { return &s.Objects })},
	{"callers", "aim", "400ms", "time", "Latency target.", durationField(func(s *scenario) *time.Duration { return &s.LatencyTarget })},
	{"callers", "patience", "2s", "time", "How long callers wait.", durationField(func(s *scenario) *time.Duration { return &s.CallerTimeout })},
}

// ReadScenario reads and checks a scenario file for the model. The error wraps ErrInvalid and lists all violations.
func ReadScenario(path string) (*model.Scenario, error) { return read(path, ParseScenario) }

// ParseScenario parses and checks a scenario in INI form.
func ParseScenario(data []byte) (*model.Scenario, error) {
	return parse(data, scenarioTable, func(*scenario, map[string]int) []violation { return nil })
}

// numberField returns a setter for a positive number.
func numberField[T any](field func(*T) *float64) func(*T, string) error {
	return func(s *T, value string) error {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n > 0) || math.IsInf(n, 0) {
			return errNumber
		}
		*field(s) = n
		return nil
	}
}

// countsField returns a setter for a list of non-negative integers.
func countsField[T any](field func(*T) *[]int) func(*T, string) error {
	return func(s *T, value string) error {
		*field(s) = nil
		for _, part := range strings.Split(value, ",") {
			n, err := strconv.Atoi(strings.TrimSpace(part))
			if err != nil || n < 0 {
				return errCounts
			}
			*field(s) = append(*field(s), n)
		}
		return nil
	}
}
