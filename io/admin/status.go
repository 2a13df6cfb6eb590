package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/moves"
)

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	v, err := a.verdictFor(r)
	if err != nil {
		writeProblem(w, http.StatusNotFound, err.Error())
		return
	}
	writeJSON(w, v)
}

var errNotFound = merry.Sentinel("no such resource")

// verdictFor returns the verdict on the newest change of a resource, or on a later revision given in the query. A
// change that deleted the resource can only be found by its revision.
func (a *API) verdictFor(r *http.Request) (wire.Verdict, error) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	revision, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	resource, ok := a.deps.Snapshot().Get(config.ResourceID{Kind: kind, Name: name})
	if !ok && revision == 0 {
		return wire.Verdict{}, errNotFound
	}
	v := wire.Verdict{State: moves.InForce, Revision: max(revision, resource.Revision)}
	v.Waiting = a.hostsBehind(ident.Revision(v.Revision))
	if len(v.Waiting) > 0 {
		v.State = moves.Pending
		v.Reason = "not in force at every host yet"
		return v, nil
	}
	if ok && resource.Shift != nil && len(resource.Shift.Versions) > 0 {
		return a.moveVerdict(v, config.Shift{Name: ident.Shift(name), Shift: *resource.Shift}), nil
	}
	return v, nil
}

// moveVerdict returns the stored verdict on the moves of a shift, or a pending one if there is none on this attempt.
func (a *API) moveVerdict(v wire.Verdict, shift config.Shift) wire.Verdict {
	stored, ok := a.deps.Verdict(string(shift.Name))
	if !ok || stored.Attempt != moves.AttemptID(shift) {
		v.State = moves.Pending
		v.Reason = "move not started yet"
		return v
	}
	stored.Revision = v.Revision
	return stored
}

// hostsBehind returns the hosts with a seat whose last known revision is lower than the given one.
func (a *API) hostsBehind(revision ident.Revision) []string {
	peers := a.deps.Peers()
	waiting := []string{}
	for _, s := range a.deps.SeatTable().Seats {
		hostRevision := peers[ident.Host(s.Host)].Revision
		if ident.Host(s.Host) == a.deps.Host {
			hostRevision = a.deps.Snapshot().Revision
		}
		if hostRevision < revision {
			waiting = append(waiting, s.Host)
		}
	}
	return waiting
}

// watch streams the verdicts on a change, one JSON value per line, until one is no longer pending or maxWatchDuration
// has passed.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	ctx, cancel := context.WithTimeout(r.Context(), maxWatchDuration)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		v, err := a.verdictFor(r)
		if err != nil && last == "" {
			writeProblem(w, http.StatusNotFound, err.Error())
			return
		}
		if err != nil {
			return
		}
		text, _ := json.Marshal(v)
		if string(text) != last {
			last = string(text)
			_ = encoder.Encode(v)
			w.(http.Flusher).Flush()
		}
		if v.State != moves.Pending {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}
