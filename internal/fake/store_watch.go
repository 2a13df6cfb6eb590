package fake

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
)

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var req watchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.openWatches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.openWatches--
		s.mu.Unlock()
	}()
	next := req.Create.StartRevision
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	encoder := json.NewEncoder(w)
	send := func(result map[string]any) {
		_ = encoder.Encode(map[string]any{"result": result})
		w.(http.Flusher).Flush()
	}
	send(map[string]any{"header": map[string]any{"revision": "0"}, "created": true})
	for {
		s.mu.Lock()
		changed, down := s.changed, s.faults.Down || s.era != era
		events, revision := s.eventsFrom(req, next)
		s.mu.Unlock()
		if down {
			return
		}
		if len(events) > 0 {
			send(map[string]any{"header": map[string]any{"revision": strconv.FormatInt(revision, 10)}, "events": events})
			next = revision + 1
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsFrom(req watchRequest, next int64) ([]any, int64) {
	if s.faults.HoldWatch {
		return nil, 0
	}
	var events []any
	start := sort.Search(len(s.events), func(i int) bool { return s.events[i].modRevision >= next })
	for _, c := range s.events[start:] {
		if c.key < string(req.Create.Key) || c.key >= string(req.Create.RangeEnd) {
			continue
		}
		encoded := map[string]any{"kv": encodeKV(c.key, record{value: c.value, createRevision: c.createRevision, modRevision: c.modRevision})}
		if c.deleted {
			encoded["type"] = "DELETE"
		}
		events = append(events, encoded)
	}
	return events, s.revision
}
