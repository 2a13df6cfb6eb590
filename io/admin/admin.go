// Package admin serves operators: they read and write resources and watch them until they are in force, done or reverted.
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
	maxApplyBytes = 32 << 20
	keyBytes      = 24 // random bytes in a caller key
	watchPoll     = 20 * time.Millisecond
	watchLimit    = 10 * time.Minute
)

// Seams are what the operators' side needs from the rest of the process.
type Seams struct {
	Host     ident.Host
	Store    *store.Store
	Log      *slog.Logger
	Token    string
	Snapshot func() *config.Snapshot
	Table    func() wire.SeatTable
	Peers    func() map[ident.Host]member.Peer
	Verdict  func(shift string) (wire.Verdict, bool)
	// Homes returns the partition to hand out a backend server's slots, counted from one.
	Homes func(region ident.Region, s *config.Snapshot) int
}

// Admin answers operators.
type Admin struct {
	seams Seams
	mux   *http.ServeMux
}

// New returns the operators' side.
func New(seams Seams) *Admin {
	a := &Admin{seams: seams, mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/resources", a.list)
	a.mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.get)
	a.mux.HandleFunc("POST /v1/apply", a.apply)
	a.mux.HandleFunc("POST /v1/keys", a.grant)
	a.mux.HandleFunc("GET /v1/status/{kind}/{name}", a.status)
	a.mux.HandleFunc("GET /v1/watch/{kind}/{name}", a.watch)
	a.mux.HandleFunc("GET /v1/hosts", a.hosts)
	return a
}

// ServeHTTP answers one operator's request.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if a.seams.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(a.seams.Token)) != 1 {
		fail(w, http.StatusUnauthorized, "operator token missing or wrong")
		return
	}
	a.mux.ServeHTTP(w, r)
}

func fail(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire.Problem{Title: http.StatusText(status), Status: status, Detail: detail})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (a *Admin) list(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	list := []wire.Resource{}
	for _, resource := range a.seams.Snapshot().Resources() {
		if kind == "" || resource.Kind == kind {
			list = append(list, resource)
		}
	}
	reply(w, list)
}

func (a *Admin) get(w http.ResponseWriter, r *http.Request) {
	resource, ok := a.seams.Snapshot().Get(config.ResourceID{Kind: r.PathValue("kind"), Name: r.PathValue("name")})
	if !ok {
		fail(w, http.StatusNotFound, "no such resource")
		return
	}
	reply(w, resource)
}

// Applied is the answer to a write.
type Applied struct {
	Revision ident.Revision `json:"revision"`
	Key      string         `json:"key,omitempty"` // a granted key, told only once
	Name     string         `json:"name,omitempty"`
}

func (a *Admin) apply(w http.ResponseWriter, r *http.Request) {
	var list []wire.Resource
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		fail(w, http.StatusBadRequest, "not a list of resources: "+err.Error())
		return
	}
	if len(list) == 0 {
		fail(w, http.StatusBadRequest, "no resources given")
		return
	}
	a.finish(r.Context(), w, list, Applied{})
}

func (a *Admin) finish(ctx context.Context, w http.ResponseWriter, list []wire.Resource, out Applied) {
	revision, err := a.Write(ctx, list)
	switch {
	case err == nil:
		out.Revision = revision
		reply(w, out)
	case errors.Is(err, config.ErrInvalid):
		fail(w, http.StatusUnprocessableEntity, err.Error())
	case errors.Is(err, ErrRevision), errors.Is(err, store.ErrConflict):
		fail(w, http.StatusConflict, err.Error())
	case errors.Is(err, store.ErrTooLarge):
		fail(w, http.StatusRequestEntityTooLarge, err.Error())
	default:
		fail(w, http.StatusServiceUnavailable, err.Error())
	}
}

// grantRequest names the team that gets a key.
type grantRequest struct {
	Team string `json:"team"`
	Name string `json:"name"`
}

// grant makes a key for a team. Only its hash is stored; the key itself is in this answer and nowhere else.
func (a *Admin) grant(w http.ResponseWriter, r *http.Request) {
	var q grantRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes)).Decode(&q); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	secret := make([]byte, keyBytes)
	if _, err := rand.Read(secret); err != nil {
		fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	key := "jsk-" + base64.RawURLEncoding.EncodeToString(secret)
	hash := entry.HashKey(key)
	if q.Name == "" {
		q.Name = q.Team + "-" + hash[:8]
	}
	resource := wire.Resource{Kind: config.KindKey, Name: q.Name, Revision: mustBeNew, Key: &wire.Key{Team: q.Team, Hash: hash}}
	a.finish(r.Context(), w, []wire.Resource{resource}, Applied{Key: key, Name: q.Name})
}
