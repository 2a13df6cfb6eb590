//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["split-halves"] = splitHalves }

const (
	splitTime = 9 * time.Second  // of the cut between the halves
	rejoinMax = 30 * time.Second // after the cut, in which the hosts may find each other again
)

// splitHalves cuts the hosts of two zones from each other for a while, and looks whether the directory of each host names all hosts
// again. No rule asks for that by itself: it shows why hosts act without each other in the case of silent connections.
func splitHalves(s *stage) (bool, error) {
	s.configure(7)
	for i := range 4 {
		if _, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	hosts, between, err := s.addSplitHosts(6)
	if err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	s.noteDirectories(hosts)
	if s.trouble {
		for _, p := range between {
			p.silence()
			p.refuse()
		}
		s.note("the halves are cut from each other")
	}
	time.Sleep(splitTime)
	s.noteDirectories(hosts)
	if s.trouble {
		for _, p := range between {
			p.reset()
			if err := p.heal(); err != nil {
				return false, err
			}
		}
		s.note("the cut has ended: what was open is reset, and new connections work")
	}
	time.Sleep(rejoinMax)
	s.noteDirectories(hosts)
	apart := false
	for _, h := range hosts {
		apart = apart || s.named(h) < len(hosts)
	}
	return apart, nil
}

// addSplitHosts starts hosts that reach each other through proxies of their own. It returns the proxies between the two halves too.
func (s *stage) addSplitHosts(count int) (hosts []*host, between []*proxy, err error) {
	for i := range count {
		h, err := s.newHost(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
	}
	for i, h := range hosts {
		addresses := map[string]string{}
		for j, other := range hosts {
			if i == j {
				continue
			}
			p, err := newProxy(other.link, 0)
			if err != nil {
				return nil, nil, err
			}
			addresses[other.link] = p.address
			if i < count/2 != (j < count/2) {
				between = append(between, p)
			}
		}
		view, err := s.store.view(addresses)
		if err != nil {
			return nil, nil, err
		}
		if err := s.launch(h, view.address); err != nil {
			return nil, nil, err
		}
	}
	return hosts, between, nil
}

func (s *stage) noteDirectories(hosts []*host) {
	for _, h := range hosts {
		s.note("the directory of %s names %d hosts", h.name, s.named(h))
	}
}
