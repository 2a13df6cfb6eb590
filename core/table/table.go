// Package table indexes one version of the routes, services, teams and limits that operators configure.
package table

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/paths"
)

// Version is the version number of a configuration. Later configurations have greater numbers.
type Version int64

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name         ident.Service
	HealthPath   string
	MaxConns     int           // maximum connections that a backend server accepts, from all clients together
	ColdDuration time.Duration // time after its start during which a backend server is cold
	ColdRate     float64       // maximum requests per second to a cold backend server
}

// Team is a tenant with its API keys and its rate limit.
type Team struct {
	Name        ident.Team
	Keys        []string
	Priority    *int           // overrides the priority of the route unless nil
	Rate        float64        // requests per second over all hosts, 0 for no limit
	Burst       float64        // requests allowed at once over all hosts
	HomeRegions []ident.Region // regions that requests may run in, empty for all
}

// Limits bounds the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // maximum time to receive the request header
	IdleTimeout    time.Duration // maximum time between requests on a connection
}

// Config is a decoded configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Table provides lookups in one configuration. It is immutable and safe for concurrent use.
type Table struct {
	Config
	routesByHost map[string][]*Route // by host name, longest prefix first
	services     map[ident.Service]*Service
	teamsByKey   map[string]*Team
	teams        map[ident.Team]*Team
	ranked       map[ident.Service]bool // services that requests of different priority can reach
}

// New returns a table of the configuration.
func New(c Config) *Table {
	t := &Table{
		Config: c, routesByHost: map[string][]*Route{}, services: map[ident.Service]*Service{},
		teamsByKey: map[string]*Team{}, teams: map[ident.Team]*Team{},
	}
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		r.path = paths.Of(r.Prefix)
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.path), len(a.path)) })
	}
	for i := range t.Config.Services {
		t.services[t.Config.Services[i].Name] = &t.Config.Services[i]
	}
	for i := range t.Config.Teams {
		team := &t.Config.Teams[i]
		t.teams[team.Name] = team
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	t.ranked = rankedServices(&c)
	return t
}

// Route returns the route of the host name with the longest prefix that begins the path.
func (t *Table) Route(host string, path paths.Path) (*Route, bool) {
	for _, r := range t.routesByHost[host] {
		if path.Under(r.path) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests need an API key, except on open routes. They do when any team is configured.
func (t *Table) RequiresKey() bool { return len(t.Config.Teams) > 0 }

// TeamByKey returns the team that the API key belongs to.
func (t *Table) TeamByKey(key string) (*Team, bool) {
	team, ok := t.teamsByKey[key]
	return team, ok
}

// Team returns the team with the name.
func (t *Table) Team(name ident.Team) (*Team, bool) {
	team, ok := t.teams[name]
	return team, ok
}

// Service returns the service with the name.
func (t *Table) Service(name ident.Service) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RanksService reports whether requests of different priority can reach the service.
func (t *Table) RanksService(name ident.Service) bool { return t.ranked[name] }
