// Package admin serves the operators' HTTP API. Operators read and write resources, and watch a change until it is in
// force at all hosts, or the moves of a shift are done or reverted.
package admin

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/entry"
	"jayshift/io/member"
	"jayshift/io/store"
)

const (
	maxRequestBytes  = 32 << 20
	keyBytes         = 24 // random bytes in an API key
	pollInterval     = 20 * time.Millisecond
	maxWatchDuration = 10 * time.Minute
)

// Deps holds the dependencies of an API.
type Deps struct {
	Host      ident.Host
	Store     *store.Store
	Log       *slog.Logger
	Token     string // token that operators must send, or empty if they need none
	Snapshot  func() *config.Snapshot
	SeatTable func() wire.SeatTable
	Peers     func() map[ident.Host]member.Peer
	// Verdict returns the stored verdict on a shift's moves, or false if there is none.
	Verdict func(shift string) (wire.Verdict, bool)
	// HomePartition returns the number, from 1, of the partition whose owner allocates the slots of a new backend server.
	HomePartition func(region ident.Region, s *config.Snapshot) int
}

// API is the HTTP handler of the operators' API.
type API struct {
	deps Deps
	mux  *http.ServeMux
}

// New returns an API with its routes.
func New(deps Deps) *API {
	a := &API{deps: deps, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/resources", a.list)
	a.mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.get)
	a.mux.HandleFunc("POST /v1/apply", a.apply)
	a.mux.HandleFunc("POST /v1/keys", a.createKey)
	a.mux.HandleFunc("GET /v1/status/{kind}/{name}", a.status)
	a.mux.HandleFunc("GET /v1/watch/{kind}/{name}", a.watch)
	a.mux.HandleFunc("GET /v1/hosts", a.hosts)
	return a
}

// ServeHTTP checks the operator's token and serves the request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if a.deps.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(a.deps.Token)) != 1 {
		writeProblem(w, http.StatusUnauthorized, "operator token missing or wrong")
		return
	}
	a.mux.ServeHTTP(w, r)
}

// writeProblem writes an error response in the problem+json format.
func writeProblem(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Problem{Title: http.StatusText(status), Status: status, Detail: detail})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	list := []wire.Resource{}
	for _, resource := range a.deps.Snapshot().Resources() {
		if kind == "" || resource.Kind == kind {
			list = append(list, resource)
		}
	}
	writeJSON(w, list)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	resource, ok := a.deps.Snapshot().Get(config.ResourceID{Kind: r.PathValue("kind"), Name: r.PathValue("name")})
	if !ok {
		writeProblem(w, http.StatusNotFound, "no such resource")
		return
	}
	writeJSON(w, resource)
}

// ApplyResult is the response to a write.
type ApplyResult struct {
	Revision ident.Revision `json:"revision"`
	Key      string         `json:"key,omitempty"` // a new API key, which cannot be read again
	Name     string         `json:"name,omitempty"`
}

func (a *API) apply(w http.ResponseWriter, r *http.Request) {
	var list []wire.Resource
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		writeProblem(w, http.StatusBadRequest, "not a list of resources: "+err.Error())
		return
	}
	if len(list) == 0 {
		writeProblem(w, http.StatusBadRequest, "no resources given")
		return
	}
	a.writeAndReply(r.Context(), w, list, ApplyResult{})
}

// writeAndReply stores the resources and writes the result, or the problem that matches the error.
func (a *API) writeAndReply(ctx context.Context, w http.ResponseWriter, list []wire.Resource, result ApplyResult) {
	revision, err := a.Write(ctx, list)
	switch {
	case err == nil:
		result.Revision = revision
		writeJSON(w, result)
	case errors.Is(err, config.ErrInvalid):
		writeProblem(w, http.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, ErrRevisionMismatch), errors.Is(err, store.ErrConflict):
		writeProblem(w, http.StatusConflict, err.Error())
	case errors.Is(err, store.ErrTooLarge):
		writeProblem(w, http.StatusRequestEntityTooLarge, err.Error())
	default:
		writeProblem(w, http.StatusServiceUnavailable, err.Error())
	}
}

// keyRequest is a request for a new API key of a team.
type keyRequest struct {
	Team string `json:"team"`
	Name string `json:"name"`
}

// createKey creates an API key for a team. Only the key's hash is stored, so the response is the only place that
// contains the key.
func (a *API) createKey(w http.ResponseWriter, r *http.Request) {
	var req keyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		writeProblem(w, http.StatusInternalServerError, err.Error())
		return
	}
	key := "jsk-" + base64.RawURLEncoding.EncodeToString(secret)
	hash := entry.HashKey(key)
	if req.Name == "" {
		req.Name = req.Team + "-" + hash[:8]
	}
	resource := wire.Resource{Kind: config.KindKey, Name: req.Name, Revision: mustNotExist, Key: &wire.Key{Team: req.Team, Hash: hash}}
	a.writeAndReply(r.Context(), w, []wire.Resource{resource}, ApplyResult{Key: key, Name: req.Name})
}
