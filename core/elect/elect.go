// Package elect chooses hosts for a subject by rendezvous hashing. Hosts with the same host list make the same choice
// without communicating, and few choices change when a host is added or removed.
package elect

import (
	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

// Score returns the rendezvous hash of a host for a subject.
func Score(subject string, host ident.Host) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(host))
}

// Pick returns the host with the highest score for the subject, independent of the order of the hosts.
// It returns an empty name when there are no hosts.
func Pick(subject string, hosts []ident.Host) ident.Host {
	var best ident.Host
	var highest uint64
	for _, h := range hosts {
		if score := Score(subject, h); best == "" || score > highest {
			best, highest = h, score
		}
	}
	return best
}
