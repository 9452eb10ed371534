// Package serve runs the HTTP servers of simulated targets and of the simulated
// platform.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the time that a client takes to send its headers.
const readHeaderTimeout = 10 * time.Second

// Server is a running HTTP server that speaks HTTP/1.1 and unencrypted HTTP/2.
type Server struct {
	http     *http.Server
	listener net.Listener
	// done receives the result of http.Server.Serve.
	done chan error
}

// Start listens on address, an IP:port, and serves handler until Close or Shutdown. Port
// 0 selects a free port. It returns an error if it cannot listen.
func Start(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
		},
		listener: listener,
		done:     make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(listener) }()
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// URL returns the base URL of the server, without a trailing slash.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// Close stops listening and closes all connections at once. Either Close or Shutdown may
// be called, and only once.
func (s *Server) Close() error {
	err := s.http.Close()
	return errors.Join(err, s.wait())
}

// Shutdown stops listening and waits for requests in progress until ctx ends, whose
// error it then returns.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errors.Join(err, s.wait())
}

// wait waits until http.Server.Serve has returned, and returns its error unless the
// server was closed.
func (s *Server) wait() error {
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
