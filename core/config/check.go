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
	maxNameLength         = 63      // characters
	maxPartitions         = 64      // number of partitions in the seat table
	minPartitionBurst     = 2.0     // smallest burst of one partition, in requests
	minLinkPartitionBurst = 1 << 20 // smallest burst of one partition of a link, in bytes
	maxBlocksPerResource  = 8192    // client blocks in one resource
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Check validates the changes, on their own and applied to the base snapshot.
// The error wraps ErrInvalid and lists every violation.
func Check(base *Snapshot, changes []wire.Resource) error {
	c := checker{next: base.With(base.Revision, withContent(changes))}
	for _, r := range changes {
		c.checkResource(r)
		c.checkImmutable(base, r)
	}
	c.checkReferences()
	return joinViolations(c.violations)
}

// SetPartitions sets the number of partitions of a limit. It is computed when the resource is created and is immutable
// afterwards: later changes take the value from the base snapshot. A stored shift or region without partitions gets
// them with its next change.
func SetPartitions(base *Snapshot, r *wire.Resource) {
	old, exists := base.Get(IDOf(*r))
	if exists && r.Kind != old.Kind {
		return
	}
	switch {
	case r.Team != nil:
		if exists {
			r.Team.Parts = old.Team.Parts
		} else {
			r.Team.Parts = partitionCount(r.Team.Burst, minPartitionBurst)
		}
	case r.Shift != nil:
		if exists && old.Shift.Parts > 0 {
			r.Shift.Parts = old.Shift.Parts
		} else {
			r.Shift.Parts = partitionCount(r.Shift.CapBurst, minPartitionBurst)
		}
	case r.Region != nil:
		if exists && old.Region.Parts > 0 {
			r.Region.Parts = old.Region.Parts
		} else {
			r.Region.Parts = partitionCount(r.Region.Burst, minPartitionBurst)
		}
	case r.Link != nil:
		if exists {
			r.Link.Parts = old.Link.Parts
		} else {
			r.Link.Parts = partitionCount(r.Link.BytesPerSecond, minLinkPartitionBurst)
		}
	}
}

// partitionCount returns the number of partitions that give each one a burst of at least minBurst, from 1 to
// maxPartitions.
func partitionCount(burst, minBurst float64) int {
	return max(1, min(maxPartitions, int(burst/minBurst)))
}

// withContent returns the changes without those that lack content, which the snapshot's index cannot hold.
func withContent(changes []wire.Resource) []wire.Resource {
	var list []wire.Resource
	for _, r := range changes {
		if r.Deleted || ContentOf(r) != nil {
			list = append(list, r)
		}
	}
	return list
}

// checker validates changes and collects the violations.
type checker struct {
	next       *Snapshot
	violations []Violation
}

func (c *checker) report(r wire.Resource, field, format string, args ...any) {
	c.violations = append(c.violations, Violation{Kind: r.Kind, Name: r.Name, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) require(ok bool, r wire.Resource, field, format string, args ...any) {
	if !ok {
		c.report(r, field, format, args...)
	}
}

func (c *checker) checkImmutable(base *Snapshot, r wire.Resource) {
	old, ok := base.Get(IDOf(r))
	if !ok || r.Deleted {
		return
	}
	if r.Key != nil && old.Key != nil {
		c.require(*r.Key == *old.Key, r, "hash", "the key is immutable; withdraw it and grant a new one")
	}
	if r.BackendServer != nil && old.BackendServer != nil {
		same := r.BackendServer.Address == old.BackendServer.Address && r.BackendServer.Service == old.BackendServer.Service
		c.require(same, r, "address", "address and service are immutable; create a backend server with a new name")
	}
}

func (c *checker) checkResource(r wire.Resource) {
	c.require(len(r.Name) <= maxNameLength && namePattern.MatchString(r.Name), r, "name",
		"must be 1 to %d characters of a-z, 0-9, dot and hyphen", maxNameLength)
	if r.Deleted {
		return
	}
	switch body := ContentOf(r).(type) {
	case nil:
		c.report(r, "kind", "unknown kind or content missing")
	case *wire.Team:
		c.checkRate(r, "rate", body.Rate, body.Burst)
	case *wire.Key:
		c.require(len(body.Hash) == 64, r, "hash", "must be a SHA-256 hash in hexadecimal")
	case *wire.Service:
		c.checkService(r, body)
	case *wire.BackendServer:
		c.checkBackendServer(r, body)
	case *wire.Shift:
		c.checkShift(r, body)
	case *wire.Region:
		c.require(body.Rate >= 0 && body.Burst >= 0, r, "rate", "must not be negative")
		c.require(body.Rate == 0 || body.Burst >= 1, r, "burst", "must be at least 1")
	case *wire.Link:
		c.require(body.BytesPerSecond > 0, r, "bytes-per-second", "must be above zero")
	case *wire.ClientBlocks:
		c.checkClientBlocks(r, body)
	case *wire.Drain:
		c.require(drainable(body.Kind), r, "kind", "resources of kind %q cannot be drained", body.Kind)
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

func (c *checker) checkRate(r wire.Resource, field string, rate, burst float64) {
	c.require(rate > 0, r, field, "must be above zero")
	c.require(burst >= 1, r, "burst", "must be at least 1")
}

func (c *checker) checkService(r wire.Resource, s *wire.Service) {
	c.require(strings.HasPrefix(s.Prefix, "/"), r, "prefix", "must start with /")
	c.require(!strings.HasPrefix(s.Prefix, "/v1/"), r, "prefix", "/v1/ is reserved")
	c.require(s.DeadlineMs >= 0 && s.DeadlineMs <= 600_000, r, "deadline-ms", "must be 0 to 600000")
	c.require(s.TargetAvailability >= 0 && s.TargetAvailability < 1, r, "target-availability", "must be 0 or more and below 1")
}

func (c *checker) checkBackendServer(r wire.Resource, b *wire.BackendServer) {
	_, err := netip.ParseAddrPort(b.Address)
	c.require(err == nil, r, "address", "must be an IP address and a port")
	c.require(b.Slots > 0, r, "slots", "must be above zero")
	c.require(b.Version != "", r, "version", "must be set")
}

func (c *checker) checkShift(r wire.Resource, s *wire.Shift) {
	c.require(len(s.Services) > 0, r, "services", "must name at least one service")
	c.require(s.Cap >= 0, r, "cap", "must not be negative")
	c.require(s.Cap == 0 || s.CapBurst >= 1, r, "cap-burst", "must be at least 1 when a cap is set")
	c.require(s.TrialShare >= 0 && s.TrialShare <= 0.5, r, "trial-share", "must be 0 to 0.5")
	_, err := time.Parse(time.RFC3339, s.By)
	c.require(s.By == "" || err == nil, r, "by", "must be an RFC 3339 time")
	c.require(len(s.Versions) == 0 || s.By != "", r, "by", "must be set when versions are set")
}

func (c *checker) checkClientBlocks(r wire.Resource, b *wire.ClientBlocks) {
	c.require(len(b.Blocks) <= maxBlocksPerResource, r, "blocks", "at most %d in one resource", maxBlocksPerResource)
	for prefix := range b.Blocks {
		_, err := netip.ParsePrefix(prefix)
		c.require(err == nil, r, "blocks", "%q is not an address prefix", prefix)
	}
}

// checkReferences checks that every resource that is referred to exists after the changes.
func (c *checker) checkReferences() {
	for _, r := range c.next.Resources() {
		switch body := ContentOf(r).(type) {
		case *wire.Key:
			c.requireExists(r, "team", KindTeam, body.Team)
		case *wire.BackendServer:
			c.requireExists(r, "service", KindService, body.Service)
			c.requireExists(r, "availability-zone", KindAvailabilityZone, body.AvailabilityZone)
		case *wire.AvailabilityZone:
			c.requireExists(r, "region", KindRegion, body.Region)
		case *wire.Site:
			c.requireExists(r, "availability-zone", KindAvailabilityZone, body.AvailabilityZone)
		case *wire.Link:
			c.requireExists(r, "from", KindRegion, body.From)
			c.requireExists(r, "to", KindRegion, body.To)
		case *wire.Shift:
			c.checkShiftReferences(r, body)
		case *wire.ClientBlocks:
			c.checkBlockReferences(r, body)
		}
	}
}

func (c *checker) checkShiftReferences(r wire.Resource, s *wire.Shift) {
	for _, service := range s.Services {
		c.requireExists(r, "services", KindService, service)
	}
	for _, team := range s.Teams {
		c.requireExists(r, "teams", KindTeam, team)
	}
	for _, key := range s.Keys {
		c.requireExists(r, "keys", KindKey, key)
	}
	for service := range s.Versions {
		c.requireExists(r, "versions", KindService, service)
		svc, ok := c.next.Service(ident.Service(service))
		c.require(!ok || svc.Version != "", r, "versions", "service %q has no current version to move from", service)
	}
}

func (c *checker) checkBlockReferences(r wire.Resource, b *wire.ClientBlocks) {
	seen := map[string]bool{}
	for _, site := range b.Blocks {
		if !seen[site] {
			seen[site] = true
			c.requireExists(r, "blocks", KindSite, site)
		}
	}
}

func (c *checker) requireExists(r wire.Resource, field, kind, name string) {
	_, ok := c.next.Get(ResourceID{kind, name})
	c.require(ok, r, field, "%s %q does not exist", kind, name)
}
