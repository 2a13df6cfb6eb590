package table

import "jayshift/core/ident"

// rankedServices returns the services that requests of different priority can reach: those of the routes to them, and of the
// teams that override these.
func rankedServices(c *Config) map[ident.Service]bool {
	first := map[ident.Service]int{}
	ranked := map[ident.Service]bool{}
	add := func(s ident.Service, priority int) {
		if known, ok := first[s]; ok && known != priority {
			ranked[s] = true
		}
		first[s] = priority
	}
	for _, r := range c.Routes {
		for _, s := range r.Services {
			for _, priority := range c.priorities(&r) {
				add(s.Service, priority)
			}
		}
	}
	return ranked
}

// priorities returns the priorities that requests on the route may have.
func (c *Config) priorities(r *Route) []int {
	var list []int
	own := r.Open || len(c.Teams) == 0 // whether the route's priority applies to some requests
	for _, team := range c.Teams {
		if team.Priority == nil {
			own = true
			continue
		}
		list = append(list, *team.Priority)
	}
	if own {
		list = append(list, r.Priority)
	}
	return list
}
