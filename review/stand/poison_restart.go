//go:build review

package main

import "time"

func init() { cases["poison-restart"] = poisonAfterRestarts }

// poisonAfterRestarts lets the fleet learn of a request that crashes targets, restarts the hosts one after the other as a
// planned rollout does, and lets the request come again at each host once that is in touch.
func poisonAfterRestarts(s *stage) (bool, error) {
	s.configure(7)
	if err := s.addPoisoned(8, true); err != nil {
		return false, err
	}
	if err := s.addHosts(5); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	stop := s.traffic(20)
	c := &poisonCheck{stage: s}
	for i := range 2 {
		c.send(s.hosts[i])
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(inTouch)
	s.note("before the restarts, at each host:")
	for _, h := range s.hosts {
		c.send(h)
	}
	for _, h := range s.hosts {
		if s.trouble {
			if err := s.restart(h); err != nil {
				return false, err
			}
		}
		time.Sleep(inTouch)
		c.send(h)
	}
	time.Sleep(time.Second)
	stop()
	return c.verdict(), nil
}
