package poison

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// maxHandedOver is the number of losses that a host hands over, the latest ones.
const maxHandedOver = 1024

// Loss is the loss of a backend server to a request.
type Loss struct {
	Fingerprint Fingerprint
	Server      ident.BackendServer
	At          time.Time
}

// Losses returns the latest losses that still count, up to maxHandedOver, the latest first.
func (d *Detector) Losses(now time.Time) []Loss {
	var list []Loss
	for i := range d.shards {
		list = d.shards[i].appendLosses(now, list)
	}
	slices.SortFunc(list, func(a, b Loss) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxHandedOver)]
}

func (s *shard) appendLosses(now time.Time, list []Loss) []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, rec := range s.strikes {
		if !now.Before(rec.expiresAt) {
			continue
		}
		for server, at := range rec.servers {
			list = append(list, Loss{Fingerprint: fp, Server: server, At: at})
		}
	}
	return list
}

// Merge records losses that another host has handed over, as old as they are, and returns those that were not known. Losses to
// requests that succeeded here recently are left out.
func (d *Detector) Merge(now time.Time, list []Loss) []Loss {
	var unknown []Loss
	for _, l := range list[:min(len(list), maxHandedOver)] {
		if now.Sub(l.At) >= strikeTTL {
			continue
		}
		if _, isNew := d.record(now, l); isNew {
			unknown = append(unknown, l)
		}
	}
	return unknown
}

// Encode returns losses as they are sent, with their ages.
func Encode(now time.Time, list []Loss) []wire.Strike {
	strikes := make([]wire.Strike, len(list))
	for i, l := range list {
		age := int(max(0, now.Sub(l.At)).Milliseconds())
		strikes[i] = wire.Strike{Fingerprint: string(l.Fingerprint), BackendServer: string(l.Server), AgeMs: &age}
	}
	return strikes
}

// Decode returns the losses that were sent. One without an age has just happened.
func Decode(now time.Time, strikes []wire.Strike) []Loss {
	list := make([]Loss, len(strikes))
	for i, s := range strikes {
		list[i] = Loss{Fingerprint: Fingerprint(s.Fingerprint), Server: ident.BackendServer(s.BackendServer), At: now}
		if s.AgeMs != nil && *s.AgeMs > 0 {
			list[i].At = now.Add(-time.Duration(min(*s.AgeMs, int(strikeTTL.Milliseconds()))) * time.Millisecond)
		}
	}
	return list
}
