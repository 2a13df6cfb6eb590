package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/io/loans"
)

// HashKey returns the SHA-256 hash of an API key in hexadecimal, which is stored instead of the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// admit checks the API key, the duty shifts, whether this host may serve and for how long, and the length of the idempotency key, in
// that order. It returns a problem if the request must be rejected. Rate limits are checked by checkRateLimits.
func (e *Entry) admit(q *request) *problem {
	if p := e.checkKey(q); p != nil {
		return p
	}
	if p := checkShifts(q); p != nil {
		return p
	}
	if p := e.checkServing(); p != nil {
		return p
	}
	if p := e.checkStopping(q); p != nil {
		return p
	}
	if len(q.r.Header.Get(idempotencyKeyHeader)) > maxIdempotencyKey {
		return &problem{status: http.StatusBadRequest, kind: kindBadRequest, title: "idempotency key too long", notRun: true}
	}
	return nil
}

// checkServing rejects the request if this host may not serve, which is the case before it has a configuration and a
// seat, and while it is isolated from the fleet.
func (e *Entry) checkServing() *problem {
	if e.deps.Serving(time.Now()) {
		return nil
	}
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindIsolated, title: "host is cut off",
		detail: "use another entry", notRun: true, retryAfter: time.Second, noRetry: true,
	}
}

// checkKey looks up the team of the API key and rejects unknown keys. Open services need no key.
func (e *Entry) checkKey(q *request) *problem {
	if q.service.Open {
		return nil
	}
	token, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	grant, known := q.snapshot.Grant(HashKey(token))
	if !ok || !known {
		return &problem{status: http.StatusUnauthorized, kind: kindKeyRefused, title: "key missing, unknown or withdrawn", notRun: true}
	}
	q.team, q.key = grant.Team, grant.Key
	return nil
}

// checkShifts rejects teams and keys that are in none of the service's duty shifts. A service without shifts admits
// all.
func checkShifts(q *request) *problem {
	if len(q.shifts) == 0 || slices.ContainsFunc(q.shifts, func(s config.Shift) bool { return shiftAdmits(s, q) }) {
		return nil
	}
	return &problem{status: http.StatusForbidden, kind: kindNotInShift, title: "team or key is not in the duty shift", notRun: true}
}

// shiftAdmits reports whether the shift admits the request's team and key. An empty list admits all. Callers of open
// services have no key and are always admitted.
func shiftAdmits(s config.Shift, q *request) bool {
	if q.service.Open {
		return true
	}
	teamAdmitted := len(s.Teams) == 0 || slices.Contains(s.Teams, string(q.team))
	keyAdmitted := len(s.Keys) == 0 || slices.Contains(s.Keys, string(q.key))
	return teamAdmitted && keyAdmitted
}

// chargeTTL is how long a charge is valid. A request that is delayed for longer before it is sent is charged again, so
// that requests delayed together are not sent in a burst that exceeds the limits.
const chargeTTL = 20 * time.Millisecond

// ensureCharged charges the request unless its last charge is still valid, and uses up the charge: each attempt needs
// its own.
func (e *Entry) ensureCharged(q *request) *problem {
	valid := !q.chargedAt.IsZero() && time.Since(q.chargedAt) <= chargeTTL
	if !valid {
		if p := e.charge(q); p != nil {
			return p
		}
	}
	q.chargedAt = time.Time{}
	return nil
}

// charge takes one request from the rate limits of its team and of every shift that admits it. If one limit is
// exhausted, it refunds the others and returns a problem.
func (e *Entry) charge(q *request) *problem {
	var taken []ident.Quantity
	for _, limit := range e.rateLimits(q) {
		err := e.deps.Loans.Take(q.ctx, limit.quantity, share.Unit)
		if err == nil {
			taken = append(taken, limit.quantity)
			continue
		}
		for _, quantity := range taken {
			e.deps.Loans.Refund(quantity, share.Unit)
		}
		return limit.problem(retryAfter(err))
	}
	q.chargedAt = time.Now()
	return nil
}

// checkExhausted rejects the request if one of its rate limits is known to be exhausted. It charges nothing.
func (e *Entry) checkExhausted(q *request) *problem {
	for _, limit := range e.rateLimits(q) {
		if wait := e.deps.Loans.ExhaustedFor(limit.quantity); wait > 0 {
			return limit.problem(wait)
		}
	}
	return nil
}

// problem returns the problem for a request that exceeds the limit.
func (l rateLimit) problem(retryAfter time.Duration) *problem {
	return &problem{status: http.StatusTooManyRequests, kind: l.kind, title: l.title, notRun: true, retryAfter: retryAfter, noRetry: true}
}

// rateLimit is a rate limit that applies to a request, with the kind and title of the problem when it is exhausted.
type rateLimit struct {
	quantity ident.Quantity
	kind     string
	title    string
}

// rateLimits returns the rate limits that apply to the request: its team's, and those of the shifts that admit it.
func (e *Entry) rateLimits(q *request) []rateLimit {
	var limits []rateLimit
	if q.team != "" {
		limits = append(limits, rateLimit{share.TeamQuantity(q.team), kindTeamRate, "team is over its rate"})
	}
	for _, s := range q.shifts {
		if s.Cap > 0 && shiftAdmits(s, q) {
			limits = append(limits, rateLimit{share.ShiftQuantity(s.Name), kindShiftCap, "duty shift is at its cap"})
		}
	}
	return limits
}

// retryAfter returns the time after which a request that failed with err may be retried: the time in err if it is a
// *loans.ExhaustedError, otherwise one second.
func retryAfter(err error) time.Duration {
	var exhausted *loans.ExhaustedError
	if errors.As(err, &exhausted) {
		return exhausted.RetryAfter
	}
	return time.Second
}
