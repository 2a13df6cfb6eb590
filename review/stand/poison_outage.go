//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["poison-outage"] = poisonInOutage }

// poisonInOutage lets a request that crashes targets come again every few seconds to a small fleet. Its caller retries once, at
// another host, as callers do.
func poisonInOutage(s *stage) (bool, error) {
	s.configure(7)
	if err := s.addPoisoned(6, s.trouble); err != nil {
		return false, err
	}
	if err := s.addHosts(2); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	stop := s.traffic(40)
	c := &poisonCheck{stage: s}
	for n := range 7 {
		if a := c.send(s.hosts[n%2]); a.status != http.StatusOK {
			c.send(s.hosts[(n+1)%2])
		}
		time.Sleep(6 * time.Second)
	}
	stop()
	for _, line := range s.grep("backend servers") {
		if strings.Contains(line, "cut off") || strings.Contains(line, "reached again") {
			s.log("%s", line)
		}
	}
	return c.verdict(), nil
}
