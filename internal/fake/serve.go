package fake

import (
	"net"
	"net/http"
)

// ServeStore serves a store at the address. It returns the address that it listens on and a function that stops it.
func ServeStore(s *Store, address string) (string, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}
