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

func (a *Admin) status(w http.ResponseWriter, r *http.Request) {
	v, err := a.verdictFor(r)
	if err != nil {
		fail(w, http.StatusNotFound, err.Error())
		return
	}
	reply(w, v)
}

var errNoResource = merry.Sentinel("no such resource")

// verdictFor states how far a change has come. The query's revision stands for a change that removed the resource.
func (a *Admin) verdictFor(r *http.Request) (wire.Verdict, error) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	revision, _ := strconv.Atoi(r.URL.Query().Get("revision"))
	resource, ok := a.seams.Snapshot().Get(config.ResourceID{Kind: kind, Name: name})
	if !ok && revision == 0 {
		return wire.Verdict{}, errNoResource
	}
	v := wire.Verdict{State: moves.InForce, Revision: max(revision, resource.Revision)}
	v.Waiting = a.waiting(ident.Revision(v.Revision))
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

func (a *Admin) moveVerdict(v wire.Verdict, shift config.Shift) wire.Verdict {
	stated, ok := a.seams.Verdict(string(shift.Name))
	if !ok || stated.Attempt != moves.AttemptID(shift) {
		v.State = moves.Pending
		v.Reason = "move not started yet"
		return v
	}
	stated.Revision = v.Revision
	return stated
}

// waiting returns the seated hosts that are not known to have the revision in force.
func (a *Admin) waiting(revision ident.Revision) []string {
	peers := a.seams.Peers()
	waiting := []string{}
	for _, s := range a.seams.Table().Seats {
		known := peers[ident.Host(s.Host)].Revision
		if ident.Host(s.Host) == a.seams.Host {
			known = a.seams.Snapshot().Revision
		}
		if known < revision {
			waiting = append(waiting, s.Host)
		}
	}
	return waiting
}

// watch streams the states of a change, one JSON value a line, until the last one.
func (a *Admin) watch(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	ctx, cancel := context.WithTimeout(r.Context(), watchLimit)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		v, err := a.verdictFor(r)
		if err != nil && last == "" {
			fail(w, http.StatusNotFound, err.Error())
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
		case <-time.After(watchPoll):
		case <-ctx.Done():
		}
	}
}
