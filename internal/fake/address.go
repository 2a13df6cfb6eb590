package fake

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// Ports that FreeAddress tries lie below those that systems give to outgoing connections, so that none of these takes an
// address between its choice and its use.
const (
	firstPort  = 12_000
	lastPort   = 30_000
	portsTried = 100
)

var errNoPort = errors.New("no free port found")

// nextPort counts on from a random port, so that no two calls of one process get the same port.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(lastPort - firstPort)) }

// FreeAddress returns an address on this machine that nothing listens on.
func FreeAddress() (string, error) {
	for range portsTried {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+nextPort.Add(1)%(lastPort-firstPort), 10))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errNoPort
}
