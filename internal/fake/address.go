package fake

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// FreeAddress selects ports below the range that operating systems use for outgoing connections. Otherwise an outgoing
// connection could take the port before the caller listens on it.
const (
	firstPort       = 12_000
	lastPort        = 30_000
	maxPortAttempts = 100
)

var errNoPort = errors.New("no free port found")

// portOffset counts up from a random number, so that no two calls in one process return the same port. It is taken
// modulo the number of ports.
var portOffset atomic.Int64

func init() { portOffset.Store(rand.Int64N(lastPort - firstPort)) }

// FreeAddress returns a loopback address with a port that no process listens on. It fails after maxPortAttempts ports.
func FreeAddress() (string, error) {
	for range maxPortAttempts {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+portOffset.Add(1)%(lastPort-firstPort), 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errNoPort
}
