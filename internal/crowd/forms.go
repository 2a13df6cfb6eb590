package crowd

import (
	"fmt"
	"strings"
)

// Sizes of requests. They are within the limits of the tests' configurations where the form is of legal size.
const (
	legalBody     = 1_000_000
	legalHead     = 14_000
	smallPiece    = 1000
	hugeBody      = 1_000_000_000
	pipelinedBody = 50_000
	pipelined     = 100 // requests
	readBody      = 200_000
)

var (
	piece       = strings.Repeat("x", smallPiece)
	chunk       = fmt.Sprintf("%x\r\n%s\r\n", smallPiece, piece)
	wholeBody   = strings.Repeat("x", legalBody)
	shortFields = manyFields(0, legalHead)
)

// manyFields returns header fields with short, different names, of about the given size.
func manyFields(first, size int) string {
	var b strings.Builder
	for i := first; b.Len() < size; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunkedField = "Transfer-Encoding: chunked\r\n"

// Forms returns all forms.
func Forms() []Form {
	return []Form{
		{"whole body one byte short", clients, func(c *client) {
			c.send(c.head("POST", contentLength(legalBody)) + wholeBody[1:])
		}},
		{"body in small pieces one byte short", clients, func(c *client) {
			for ok := c.send(c.head("POST", contentLength(legalBody))) && c.send(piece[1:]); ok && c.sent < legalBody-smallPiece; {
				ok = c.send(piece)
			}
		}},
		{"chunked body one byte short", clients, func(c *client) {
			for ok := c.send(c.head("POST", chunkedField)); ok && c.sent < legalBody-2*smallPiece; {
				ok = c.send(chunk)
			}
			c.send(chunk[:len(chunk)-3])
		}},
		{"body stopped halfway", clients, func(c *client) {
			c.send(c.head("POST", contentLength(legalBody)) + wholeBody[legalBody/2:])
		}},
		{"body far over the limit", clients, func(c *client) {
			for ok := c.send(c.head("POST", contentLength(hugeBody))); ok; {
				ok = c.send(wholeBody)
			}
		}},
		{"chunked body over the limit", clients, func(c *client) {
			many := strings.Repeat(chunk, smallPiece)
			for ok := c.send(c.head("POST", chunkedField)); ok; {
				ok = c.send(many)
			}
		}},
		{"head of short fields and a body that stops", clients, func(c *client) {
			c.send(c.head("POST", shortFields+contentLength(legalBody)) + "x")
		}},
		{"head of short fields without end", clients, func(c *client) {
			ok := c.send("GET " + c.door.Path + " HTTP/1.1\r\n" + c.door.Header)
			for first := 0; ok; first += smallPiece {
				ok = c.send(manyFields(first, 7*smallPiece))
			}
		}},
		{"head stopped halfway", idleClients, func(c *client) { c.send(c.head("GET", shortFields)[:legalHead/2]) }},
		{"no request", idleClients, func(*client) {}},
		{"pipelined requests with bodies", clients, func(c *client) {
			request := c.head("POST", contentLength(pipelinedBody)) + wholeBody[:pipelinedBody]
			for i, ok := 0, true; ok && i < pipelined; i++ {
				ok = c.send(request)
			}
		}},
		{"pipelined requests of short fields", clients, func(c *client) {
			request := c.head("GET", shortFields)
			for i, ok := 0, true; ok && i < pipelined; i++ {
				ok = c.send(request)
			}
		}},
		{"requests sent ahead", idleClients, func(c *client) { c.send(strings.Repeat(c.head("GET", ""), pipelined)) }},
		{"head sent slowly", idleClients, func(c *client) { c.sendSlowly(c.head("GET", shortFields)) }},
		{"body sent slowly", clients, func(c *client) {
			if c.send(c.head("POST", contentLength(legalBody)) + wholeBody[legalBody/2:]) {
				c.sendSlowly(wholeBody[:legalBody/2])
			}
		}},
		{"response read slowly", clients, func(c *client) {
			if c.send(c.head("POST", contentLength(readBody)) + wholeBody[:readBody]) {
				c.readSlowly()
			}
		}},
	}
}
