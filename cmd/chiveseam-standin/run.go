package main

import (
	"net/http"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
)

// serveUntilSignal serves handler at the IP:port listen until SIGINT or SIGTERM.
func serveUntilSignal(role, listen string, handler http.Handler) error {
	ctx, cancel := signalContext()
	defer cancel()
	server, err := serve.Start(listen, handler)
	if err != nil {
		return err
	}
	_ = newLogger().Log("msg", "listening", "role", role, "address", server.Address())
	<-ctx.Done()
	return server.Close()
}

// runGroup starts the targets of a group with start, and stops them at SIGINT or SIGTERM.
func runGroup(role string, group *deployment.Group, start func() error) error {
	ctx, cancel := signalContext()
	defer cancel()
	if err := start(); err != nil {
		_ = group.Stop()
		return err
	}
	_ = newLogger().Log("msg", "listening", "role", role)
	<-ctx.Done()
	return group.Stop()
}
