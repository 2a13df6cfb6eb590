package node

import (
	"time"

	"jayshift/core/ident"
	core "jayshift/core/usage"
	"jayshift/core/wire"
	"jayshift/io/usage"
)

// usageSubject is the subject of the order in which hosts compete for the duty to report the usage.
const usageSubject = "usage"

// newUsage returns the part that reports the usage, nil if the platform takes or requires no reports.
func (n *Node) newUsage() *usage.Reporter {
	u := n.platform.Usage
	if u.Call == nil || u.Window <= 0 || u.Late <= 0 {
		return nil
	}
	return usage.New(usage.Deps{
		Host: ident.Host(n.settings.Name), Incarnation: n.hello().Incarnation, Schedule: core.NewSchedule(u.Window, u.Late),
		LeaseTime: max(u.Lease, minUsageLease), Store: n.platform.Store, Log: n.log, Call: u.Call, Encode: u.Encode,
		Facts:      n.usageFacts,
		Candidates: func() []ident.Host { return n.peers.Candidates(time.Now(), usageSubject) },
		Leased:     n.leasedHosts,
		Send:       func(to ident.Host, f wire.Frame) error { return n.mesh.Send(to, f) },
		Uplink:     func() ident.Host { return n.peers.Uplink(time.Now()) },
		CountCall:  n.meter.RecordUsageCall, CountMissed: n.meter.RecordUsageMissed,
	})
}

// minUsageLease is the time to live of the lease of a host's registration, which the duty key is attached to.
const minUsageLease = 3 * time.Second

// usageFacts returns what this host knows of the duty to report the usage.
func (n *Node) usageFacts() core.Facts {
	f := usage.FactsOf(n.watch)
	f.Lease.ID, f.Lease.Until = n.peers.Lease()
	return f
}

// leasedHosts returns the hosts that hold a lease in the store.
func (n *Node) leasedHosts() []ident.Host {
	var hosts []ident.Host
	for host := range n.watch.Hosts() {
		hosts = append(hosts, host)
	}
	return hosts
}

func (n *Node) holdsUsageDuty() float64 { return boolToFloat(n.usage != nil && n.usage.Holds()) }
