package fake

import (
	"net"
	"net/http"
)

// ServeStore serves a stand-in store at the address and returns where it listens.
func ServeStore(s *Store, address string) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}
