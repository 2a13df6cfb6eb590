package wait

import (
	"math"
	"time"

	"jayshift/core/ident"
)

const (
	// The gate holds the queues at the servers at queueTarget waiting requests per slot, which is a wait of as many run times. It
	// starts to limit at queueLimit: below overload, requests on one object, and of many hosts by chance, wait at one server while
	// others are free. With a limit of 0.6, a fleet with objects refused 18% of its requests at a demand that it can serve.
	queueTarget = 0.4
	queueLimit  = 1.2
	// queueTimeConstant is the time constant of the moving average of the queues, and minSampleWeight the least weight of a report.
	queueTimeConstant = time.Second
	minSampleWeight   = 0.1
	// A region whose servers have reported nothing for reportAge counts as not used: a host that sends little would otherwise go on
	// with what it saw last.
	reportAge = 3 * time.Second
	// While the queues are short, the rate grows by rateRise of the demand in a second; while they are long, it falls by rateFall of
	// itself. So the hosts approach the same part of their demand.
	rateRise = 0.15
	rateFall = 0.25
	// minRatePart is the part of the demand that is always sent, so that the queues show.
	minRatePart = 0.1
	minRate     = 0.1 // requests per second
	// A rate that is beyond the demand by this factor ends the limit, if the queues have been short for several reports.
	spareFactor = 2
	// maxTokens is the number of requests that may be sent at once after a pause. Requests that leave room to others need up to as
	// many.
	maxTokens = 4.0
	// tokensPerReserve is the number of tokens that a request leaves to others for each request per slot of room that it leaves.
	tokensPerReserve = 1.5
	maxQueue         = 4.0         // waiting requests per slot in a report that count at most, since a report may be malformed
	maxGateStep      = time.Second // longest time that one change of the rate counts
)

// gate limits the rate at which this host sends requests to a service while its servers are overloaded in all regions that it uses,
// so that requests wait at the hosts, where they have an order, and not at the servers. All hosts see the same queues, in the
// reports of the servers.
type gate struct {
	limited bool
	rate    float64 // requests per second
	tokens  float64
	queues  map[ident.Region]*queueLevel
	at      time.Time
}

// queueLevel holds moving averages of the waiting requests per slot that the servers of a region report.
type queueLevel struct {
	mean       float64 // by time, to adapt the rate
	lasting    float64 // by the number of reports, so that a few long queues do not count as overload
	reportedAt time.Time
}

func newGate() gate { return gate{queues: map[ident.Region]*queueLevel{}} }

// report records the queue of a server, in waiting requests per slot, and the recent rate of requests that were sent.
func (g *gate) report(now time.Time, region ident.Region, queue, sent float64) {
	level := g.queues[region]
	if level == nil {
		level = &queueLevel{reportedAt: now}
		g.queues[region] = level
	}
	queue = min(queue, maxQueue)
	weight := 1 - math.Exp(-float64(now.Sub(level.reportedAt))/float64(queueTimeConstant))
	level.mean += max(weight, minSampleWeight) * (queue - level.mean)
	level.lasting += minSampleWeight * (queue - level.lasting)
	level.reportedAt = now
	if !g.limited && g.queue(now, func(l *queueLevel) float64 { return l.lasting }) > queueLimit {
		g.limited, g.rate, g.tokens, g.at = true, sent, 1, now
	}
}

// queue returns the average of the region where it is lowest.
func (g *gate) queue(now time.Time, average func(*queueLevel) float64) float64 {
	shortest, found := 0.0, false
	for _, level := range g.queues {
		if now.Sub(level.reportedAt) > reportAge {
			continue
		}
		if a := average(level); !found || a < shortest {
			shortest, found = a, true
		}
	}
	return shortest
}

// update adds the tokens since the last call and adapts the rate to the queues. The demand is the recent rate of all requests.
func (g *gate) update(now time.Time, demand float64) {
	elapsed := min(now.Sub(g.at), maxGateStep).Seconds()
	if elapsed <= 0 || !g.limited {
		return
	}
	g.at = now
	queue := g.queue(now, func(l *queueLevel) float64 { return l.mean })
	if change := max(-1, (queueTarget-queue)/queueTarget); change > 0 {
		g.rate += rateRise * demand * change * elapsed
	} else {
		g.rate *= math.Exp(rateFall * change * elapsed)
	}
	g.rate = max(g.rate, minRatePart*demand, minRate)
	g.tokens = min(maxTokens, g.tokens+g.rate*elapsed)
	if g.rate > spareFactor*demand && g.tokens >= maxTokens && g.queue(now, func(l *queueLevel) float64 { return l.lasting }) < queueTarget {
		g.limited = false
	}
}

// wait returns how long a request that needs the given number of tokens has to wait for them.
func (g *gate) wait(need float64) time.Duration {
	if !g.limited || g.tokens >= need {
		return 0
	}
	return time.Duration(min((need-g.tokens)/g.rate, maxGateWait.Seconds()) * float64(time.Second))
}

// maxGateWait bounds the wait that is told for a gate with a small rate.
const maxGateWait = 10 * time.Second

func (g *gate) take() { g.tokens = max(0, g.tokens-1) }
