// Package elect chooses hosts for a subject by rendezvous hashing, so that hosts which know the same hosts agree without
// talking, and few choices change when a host comes or goes.
package elect

import (
	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

// Score is a host's draw for a subject.
func Score(subject string, host ident.Host) uint64 {
	return xxhash.Sum64String(subject + "\x00" + string(host))
}

// First returns the host with the highest score for the subject, whatever their order; empty when there is none.
func First(subject string, hosts []ident.Host) ident.Host {
	var best ident.Host
	var most uint64
	for _, h := range hosts {
		if score := Score(subject, h); best == "" || score > most {
			best, most = h, score
		}
	}
	return best
}
