// Package table holds one version of the routes, services, teams and limits that operators put in force.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"jayshift/core/ident"
)

// Version numbers the configurations; later ones are greater.
type Version int64

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name       ident.Service
	HealthPath string
	MaxConns   int           // connections that a backend server accepts from all callers together
	Cold       time.Duration // how long a backend server is cold after its start
	ColdRate   float64       // requests a second that a cold backend server bears
}

// Team is a tenant with its keys and its rate.
type Team struct {
	Name  ident.Team
	Keys  []string
	Rank  *int    // goes before the rank of the route; nil when not stated
	Rate  float64 // requests a second over all hosts, 0 for no limit
	Burst float64 // requests at once over all hosts
	Homes []ident.Region
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration // for sending the header
	IdleTime    time.Duration // between requests on a connection
}

// Content is a configuration as it was written.
type Content struct {
	Version  Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table answers look-ups in one configuration. It never changes.
type Table struct {
	Content
	routes   map[string][]*Route // by host name, longest prefix first
	services map[ident.Service]*Service
	keys     map[string]*Team
	teams    map[ident.Team]*Team
}

// New indexes a configuration.
func New(c Content) *Table {
	t := &Table{
		Content: c, routes: map[string][]*Route{}, services: map[ident.Service]*Service{},
		keys: map[string]*Team{}, teams: map[ident.Team]*Team{},
	}
	for i := range t.Content.Routes {
		r := &t.Content.Routes[i]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, list := range t.routes {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Content.Services {
		t.services[t.Content.Services[i].Name] = &t.Content.Services[i]
	}
	for i := range t.Content.Teams {
		team := &t.Content.Teams[i]
		t.teams[team.Name] = team
		for _, key := range team.Keys {
			t.keys[key] = team
		}
	}
	return t
}

// Route returns the route with the longest prefix of the path among those of the host name.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Keyed tells whether requests need a key, except on open routes.
func (t *Table) Keyed() bool { return len(t.Content.Teams) > 0 }

// TeamOf returns the team that holds the key.
func (t *Table) TeamOf(key string) (*Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}

// Team returns the team of that name.
func (t *Table) Team(name ident.Team) (*Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

// Service returns the service of that name.
func (t *Table) Service(name ident.Service) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}
