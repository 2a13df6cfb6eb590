package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	maxNameLength  = 63      // characters
	maxParts       = 64      // partitions, the length of the seat table's list
	partSize       = 2.0     // smallest burst of one part, in requests
	linkPartSize   = 1 << 20 // smallest burst of one part of a link, in bytes
	maxBlocksChunk = 8192    // client blocks in one resource
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check refuses changes that are wrong in themselves or do not fit the snapshot.
// The error wraps ErrInvalid and lists every fault.
func Check(base *Snapshot, changes []wire.Resource) error {
	c := checker{next: base.With(base.Revision, usable(changes))}
	for _, r := range changes {
		c.resource(r)
		c.immutable(base, r)
	}
	c.references()
	return faultError(c.faults)
}

// Fill sets the fields that are computed when a resource is created and kept from then on.
func Fill(base *Snapshot, r *wire.Resource) {
	old, exists := base.Get(IDOf(*r))
	if exists && r.Kind != old.Kind {
		return
	}
	switch {
	case r.Team != nil:
		if exists {
			r.Team.Parts = old.Team.Parts
		} else {
			r.Team.Parts = partsFor(r.Team.Burst, partSize)
		}
	case r.Shift != nil:
		if exists && old.Shift.Parts > 0 {
			r.Shift.Parts = old.Shift.Parts
		} else {
			r.Shift.Parts = partsFor(r.Shift.CapBurst, partSize)
		}
	case r.Region != nil:
		if exists && old.Region.Parts > 0 {
			r.Region.Parts = old.Region.Parts
		} else {
			r.Region.Parts = partsFor(r.Region.Burst, partSize)
		}
	case r.Link != nil:
		if exists {
			r.Link.Parts = old.Link.Parts
		} else {
			r.Link.Parts = partsFor(r.Link.BytesPerSecond, linkPartSize)
		}
	}
}

func partsFor(burst, smallest float64) int {
	return max(1, min(maxParts, int(burst/smallest)))
}

// usable leaves out changes without content, which would break the index.
func usable(changes []wire.Resource) []wire.Resource {
	var list []wire.Resource
	for _, r := range changes {
		if r.Deleted || Body(r) != nil {
			list = append(list, r)
		}
	}
	return list
}

type checker struct {
	next   *Snapshot
	faults []Fault
}

func (c *checker) fault(r wire.Resource, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Kind: r.Kind, Name: r.Name, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) require(ok bool, r wire.Resource, field, format string, args ...any) {
	if !ok {
		c.fault(r, field, format, args...)
	}
}

func (c *checker) immutable(base *Snapshot, r wire.Resource) {
	old, ok := base.Get(IDOf(r))
	if !ok || r.Deleted {
		return
	}
	if r.Key != nil && old.Key != nil {
		c.require(*r.Key == *old.Key, r, "hash", "a key cannot change; withdraw it and grant another")
	}
	if r.BackendServer != nil && old.BackendServer != nil {
		same := r.BackendServer.Address == old.BackendServer.Address && r.BackendServer.Service == old.BackendServer.Service
		c.require(same, r, "address", "address and service cannot change; use another name")
	}
}

func (c *checker) resource(r wire.Resource) {
	c.require(len(r.Name) <= maxNameLength && namePattern.MatchString(r.Name), r, "name",
		"must be 1 to %d characters of a-z, 0-9, dot and hyphen", maxNameLength)
	if r.Deleted {
		return
	}
	switch body := Body(r).(type) {
	case nil:
		c.fault(r, "kind", "unknown kind or content missing")
	case *wire.Team:
		c.rate(r, "rate", body.Rate, body.Burst)
	case *wire.Key:
		c.require(len(body.Hash) == 64, r, "hash", "must be a SHA-256 in hexadecimal")
	case *wire.Service:
		c.service(r, body)
	case *wire.BackendServer:
		c.server(r, body)
	case *wire.Shift:
		c.shift(r, body)
	case *wire.Region:
		c.require(body.Rate >= 0 && body.Burst >= 0, r, "rate", "must not be negative")
		c.require(body.Rate == 0 || body.Burst >= 1, r, "burst", "must be at least 1")
	case *wire.Link:
		c.require(body.BytesPerSecond > 0, r, "bytes-per-second", "must be above zero")
	case *wire.ClientBlocks:
		c.blocks(r, body)
	case *wire.Drain:
		c.require(drainable(body.Kind), r, "kind", "cannot drain %q", body.Kind)
		c.require(body.Target != "", r, "target", "must be set")
	}
}

func drainable(kind string) bool {
	switch kind {
	case KindBackendServer, KindAvailabilityZone, KindRegion, KindHost:
		return true
	}
	return false
}

func (c *checker) rate(r wire.Resource, field string, rate, burst float64) {
	c.require(rate > 0, r, field, "must be above zero")
	c.require(burst >= 1, r, "burst", "must be at least 1")
}

func (c *checker) service(r wire.Resource, s *wire.Service) {
	c.require(strings.HasPrefix(s.Prefix, "/"), r, "prefix", "must start with /")
	c.require(!strings.HasPrefix(s.Prefix, "/v1/"), r, "prefix", "/v1/ is reserved")
	c.require(s.DeadlineMs >= 0 && s.DeadlineMs <= 600_000, r, "deadline-ms", "must be 0 to 600000")
	c.require(s.TargetAvailability >= 0 && s.TargetAvailability < 1, r, "target-availability", "must be 0 or more and below 1")
}

func (c *checker) server(r wire.Resource, b *wire.BackendServer) {
	_, err := netip.ParseAddrPort(b.Address)
	c.require(err == nil, r, "address", "must be an IP number and port")
	c.require(b.Slots > 0, r, "slots", "must be above zero")
	c.require(b.Version != "", r, "version", "must be set")
}

func (c *checker) shift(r wire.Resource, s *wire.Shift) {
	c.require(len(s.Services) > 0, r, "services", "must name at least one service")
	c.require(s.Cap >= 0, r, "cap", "must not be negative")
	c.require(s.Cap == 0 || s.CapBurst >= 1, r, "cap-burst", "must be at least 1 when a cap is set")
	c.require(s.TrialShare >= 0 && s.TrialShare <= 0.5, r, "trial-share", "must be 0 to 0.5")
	_, err := time.Parse(time.RFC3339, s.By)
	c.require(s.By == "" || err == nil, r, "by", "must be an RFC 3339 time")
	c.require(len(s.Versions) == 0 || s.By != "", r, "by", "must be set when versions are")
}

func (c *checker) blocks(r wire.Resource, b *wire.ClientBlocks) {
	c.require(len(b.Blocks) <= maxBlocksChunk, r, "blocks", "at most %d in one resource", maxBlocksChunk)
	for text := range b.Blocks {
		_, err := netip.ParsePrefix(text)
		c.require(err == nil, r, "blocks", "%q is not an address prefix", text)
	}
}

// references checks that what the changed configuration names exists.
func (c *checker) references() {
	for _, r := range c.next.Resources() {
		switch body := Body(r).(type) {
		case *wire.Key:
			c.exists(r, "team", KindTeam, body.Team)
		case *wire.BackendServer:
			c.exists(r, "service", KindService, body.Service)
			c.exists(r, "availability-zone", KindAvailabilityZone, body.AvailabilityZone)
		case *wire.AvailabilityZone:
			c.exists(r, "region", KindRegion, body.Region)
		case *wire.Site:
			c.exists(r, "availability-zone", KindAvailabilityZone, body.AvailabilityZone)
		case *wire.Link:
			c.exists(r, "from", KindRegion, body.From)
			c.exists(r, "to", KindRegion, body.To)
		case *wire.Shift:
			c.shiftReferences(r, body)
		case *wire.ClientBlocks:
			c.blockReferences(r, body)
		}
	}
}

func (c *checker) shiftReferences(r wire.Resource, s *wire.Shift) {
	for _, service := range s.Services {
		c.exists(r, "services", KindService, service)
	}
	for _, team := range s.Teams {
		c.exists(r, "teams", KindTeam, team)
	}
	for _, key := range s.Keys {
		c.exists(r, "keys", KindKey, key)
	}
	for service := range s.Versions {
		c.exists(r, "versions", KindService, service)
		from, ok := c.next.Service(ident.Service(service))
		c.require(!ok || from.Version != "", r, "versions", "service %q states no version to move from", service)
	}
}

func (c *checker) blockReferences(r wire.Resource, b *wire.ClientBlocks) {
	seen := map[string]bool{}
	for _, site := range b.Blocks {
		if !seen[site] {
			seen[site] = true
			c.exists(r, "blocks", KindSite, site)
		}
	}
}

func (c *checker) exists(r wire.Resource, field, kind, name string) {
	_, ok := c.next.Get(ResourceID{kind, name})
	c.require(ok, r, field, "no %s %q", kind, name)
}
