//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
)

// sent is a request of a client, with what became of it.
type sent struct {
	id, method, uri string
	plan            url.Values
	status          int    // 0: no complete answer
	note            string // why not, or the text of an answer without signature
}

var lastID atomic.Int64

// safeRequest returns a safe request whose path begins with the prefix, with a plan for the target that runs it.
func safeRequest(prefix, plan string) *sent {
	q := &sent{id: fmt.Sprintf("%016x", lastID.Add(1)), method: http.MethodGet, uri: prefix + "2f"}
	q.plan, _ = url.ParseQuery(plan)
	return q
}

// unsafeRequest returns the same with another method.
func unsafeRequest(prefix, plan string) *sent {
	q := safeRequest(prefix, plan)
	q.method = http.MethodDelete
	return q
}

// bytes returns the request as it is sent.
func (q *sent) bytes(deadlineMs int) []byte {
	return []byte(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s: %s\r\n\r\n",
		q.method, q.uri, hostName, q.id, deadlineMs, apiKey, planHeader, q.plan.Encode()))
}

// readAnswer reads the answer to the request. It returns false if the connection has ended.
func (q *sent) readAnswer(reader *bufio.Reader) bool {
	answer, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		q.note = "no answer: " + err.Error()
		return false
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		q.note = fmt.Sprintf("answer %d broke off after %d bytes: %v", answer.StatusCode, len(body), err)
		return false
	}
	q.status = answer.StatusCode
	id, signature := answer.Header.Get("X-Request-Id"), answer.Header.Get("X-Response-Signature")
	name, _, _ := strings.Cut(signature, ".")
	switch {
	case id != q.id:
		q.note = "answer to another request: " + id
	case signature == "":
		q.note = strings.TrimSpace(string(body))
	case signature != signatureOf(q.id, name) || !bytes.Equal(body, bodyOf(q.id, name, number(q.plan, "n"))):
		q.note = "not the target's answer"
	}
	return !answer.Close
}

// unsafeRoute is a route of a config whose requests may run at most once.
func unsafeRoute(name, prefix, service string, timeoutS float64) map[string]any {
	r := route(name, prefix, service, timeoutS)
	r["kind"] = "unsafe"
	return r
}

// route is a safe route of a config.
func route(name, prefix, service string, timeoutS float64) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": "safe", "timeoutS": timeoutS, "objectiveS": 0.4, "priority": 1,
		"service": service, "maxAttempts": 2, "public": false, "sticky": false, "homeRegions": []string{},
	}
}

// configure writes a config of the routes and their services.
func (s *stage) configure(version int, routes ...map[string]any) {
	known := map[string]bool{}
	var services []any
	for _, r := range routes {
		name := r["service"].(string)
		if !known[name] {
			known[name] = true
			services = append(services, map[string]any{
				"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 13.0,
			})
		}
	}
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1, "ratePerS": 0, "burst": 0, "homeRegions": []string{}}},
	})
}
