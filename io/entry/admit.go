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

// HashKey returns the form in which a caller key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// admit checks the key, the shift, the serving lease and the limits, in that order. It returns a problem to refuse with.
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
	if len(q.r.Header.Get(runKeyHeader)) > maxRunKey {
		return &problem{status: http.StatusBadRequest, kind: kindBadRequest, title: "idempotency key too long", notRun: true}
	}
	return nil
}

// checkServing refuses when this host is cut off from the fleet.
func (e *Entry) checkServing() *problem {
	if e.seams.Serving(time.Now()) {
		return nil
	}
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindIsolated, title: "host is cut off",
		detail: "use another entry", notRun: true, after: time.Second, final: true,
	}
}

// checkKey finds the team whose key came with the request.
func (e *Entry) checkKey(q *request) *problem {
	if q.service.Open {
		return nil
	}
	token, ok := strings.CutPrefix(q.r.Header.Get("Authorization"), "Bearer ")
	grant, known := q.snapshot.Grant(HashKey(token))
	if !ok || !known {
		return &problem{status: http.StatusUnauthorized, kind: kindKey, title: "key missing, unknown or withdrawn", notRun: true}
	}
	q.team, q.key = grant.Team, grant.Key
	return nil
}

// checkShifts refuses teams and keys that no duty shift of the service lets in.
func checkShifts(q *request) *problem {
	if len(q.shifts) == 0 || slices.ContainsFunc(q.shifts, func(s config.Shift) bool { return lets(s, q) }) {
		return nil
	}
	return &problem{status: http.StatusForbidden, kind: kindShift, title: "team or key is not in the duty shift", notRun: true}
}

func lets(s config.Shift, q *request) bool {
	if q.service.Open {
		return true
	}
	team := len(s.Teams) == 0 || slices.Contains(s.Teams, string(q.team))
	key := len(s.Keys) == 0 || slices.Contains(s.Keys, string(q.key))
	return team && key
}

// chargeLife is how long a charge is good for: a request that takes longer to its backend server is charged again,
// so that requests that were held up together do not arrive together beyond the limits.
const chargeLife = 20 * time.Millisecond

// ensureCharged charges the request unless its last charge is still good. Each attempt needs a charge of its own.
func (e *Entry) ensureCharged(q *request) *problem {
	fresh := !q.charged.IsZero() && time.Since(q.charged) <= chargeLife
	if !fresh {
		if p := e.charge(q); p != nil {
			return p
		}
	}
	q.charged = time.Time{}
	return nil
}

// charge takes the request from the limits of its team and of every shift that carries it.
// What was taken is given back when a later limit refuses.
func (e *Entry) charge(q *request) *problem {
	var taken []ident.Quantity
	for _, limit := range e.limitsOf(q) {
		err := e.seams.Loans.Take(q.ctx, limit.quantity, share.Unit)
		if err == nil {
			taken = append(taken, limit.quantity)
			continue
		}
		for _, t := range taken {
			e.seams.Loans.Refund(t, share.Unit)
		}
		return limit.refusal(afterOf(err))
	}
	q.charged = time.Now()
	return nil
}

// exhausted refuses a request at once while one of its limits is known to be used up, without charging it.
func (e *Entry) exhausted(q *request) *problem {
	for _, limit := range e.limitsOf(q) {
		if after := e.seams.Loans.ExhaustedFor(limit.quantity); after > 0 {
			return limit.refusal(after)
		}
	}
	return nil
}

func (c charged) refusal(after time.Duration) *problem {
	return &problem{status: http.StatusTooManyRequests, kind: c.kind, title: c.title, notRun: true, after: after, final: true}
}

type charged struct {
	quantity ident.Quantity
	kind     string
	title    string
}

func (e *Entry) limitsOf(q *request) []charged {
	var list []charged
	if q.team != "" {
		list = append(list, charged{share.TeamQuantity(q.team), kindTeamRate, "team is over its rate"})
	}
	for _, s := range q.shifts {
		if s.Cap > 0 && lets(s, q) {
			list = append(list, charged{share.ShiftQuantity(s.Name), kindShiftCap, "duty shift is at its cap"})
		}
	}
	return list
}

func afterOf(err error) time.Duration {
	var r *loans.ExhaustedError
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return time.Second
}
