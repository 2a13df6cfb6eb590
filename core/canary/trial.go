package canary

import "math"

const (
	// DefaultPart is the part of all requests that a version on trial gets at most, if no other is set.
	DefaultPart = 0.25
	// firstRequests is the number of requests that a version on trial may get before any of them has ended, besides
	// firstPerHost for each host, since a host may have none to send. Each one that has ended permits requestsPerEnded in all.
	firstRequests    = 16.0
	firstPerHost     = 0.1
	requestsPerEnded = 2.0
	// slackFraction is the part of the permitted slack that a trial uses. The rest remains for requests that are on their
	// way when a fault shows.
	slackFraction = 0.5
)

// Exposure bounds the requests that a version may get before it is proved: a share of the requests that have reached the
// service, and a number of requests beyond that.
type Exposure struct{ Share, Slack float64 }

// DefaultExposure is used where no bound is given.
var DefaultExposure = Exposure{Share: 0.1, Slack: 50}

// Trial limits the requests that a version gets from all hosts together before it is proved. The limit is a function of
// requests that have been counted, so it holds however fast requests arrive and however late a fault is found.
//
// The hosts on the list of the trial divide the limit among them: of a limit of n requests, each of k hosts may send n/k,
// rounded down after the host's position on the list was added, which sums up to n exactly. Hosts know different counts,
// but none counts a request that has not ended, so together they stay below the limit for the true count.
type Trial struct {
	Part     float64 // of the requests asked for
	Exposure Exposure
	Hosts    int  // on the list
	Relisted bool // the list of hosts is not the first one of the move: the slack was used before
}

// Limit returns the number of requests that all hosts together may have sent to the version.
func (t Trial) Limit(c Counts) float64 {
	slack := slackFraction * t.Exposure.Slack
	if t.Relisted {
		slack = 0
	}
	return min(t.Part*c.Asked, slack+t.Exposure.Share*c.Reached, firstRequests+firstPerHost*float64(t.Hosts)+requestsPerEnded*c.Known)
}

// HostLimit returns the part of a limit of the host at a position, counted from 0, on a list of hosts.
func HostLimit(limit float64, position, hosts int) int {
	if position < 0 || hosts == 0 {
		return 0
	}
	return int(math.Floor((math.Floor(limit) + float64(position)) / float64(hosts)))
}
