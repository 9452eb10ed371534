package main

import (
	"net/http"

	"github.com/chiveseam/chiveseam/internal/standin/deployment"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
)

// serveUntilSignal serves handler on listen until the program is told to stop.
func serveUntilSignal(role, listen string, handler http.Handler) error {
	ctx, cancel := untilSignal()
	defer cancel()
	server, err := serve.Start(listen, handler)
	if err != nil {
		return err
	}
	_ = newLogger().Log("msg", "listening", "role", role, "address", server.Address())
	<-ctx.Done()
	return server.Close()
}

// runGroup starts a group of targets and stops it when the program is told to.
func runGroup(role string, group *deployment.Group, start func() error) error {
	ctx, cancel := untilSignal()
	defer cancel()
	if err := start(); err != nil {
		_ = group.Stop()
		return err
	}
	_ = newLogger().Log("msg", "listening", "role", role)
	<-ctx.Done()
	return group.Stop()
}
