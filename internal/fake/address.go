package fake

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports that FreeAddress tries lie below those that systems give to outgoing connections, so that none of these takes an
// address between its choice and its use.
const (
	firstPort  = 12_000
	lastPort   = 30_000
	portsTried = 100
)

var errNoPort = errors.New("no free port found")

// FreeAddress returns an address on this machine that nothing listens on.
func FreeAddress() (string, error) {
	for range portsTried {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errNoPort
}
