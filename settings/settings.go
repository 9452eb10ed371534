// Package settings reads the static settings of chiveseam-router from flags and environment
// variables. A flag overrides the environment variable of the same setting.
//
// internal/cmd/settingsgen generates the type Router and its parsing from the schema's message
// RouterSettings.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Program is the name of the program in the help text.
const Program = "chiveseam-router"

// Error describes an invalid setting or argument.
type Error struct {
	// Name is the name of the flag without its dashes.
	Name string
	// Value is the rejected value.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error returns one line with the setting, its value and the allowed values.
func (e Error) Error() string {
	return fmt.Sprintf("--%s: %q is not allowed: want %s", e.Name, e.Value, e.Allowed)
}

// Errors holds all invalid settings: first those that are invalid by themselves, in the order of
// the schema, then unknown arguments, then settings that contradict each other.
type Errors []Error

// Error returns one line for each invalid setting.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, invalid := range e {
		lines[i] = invalid.Error()
	}
	return strings.Join(lines, "\n")
}

// HelpError is returned by Parse if the arguments contain --help.
type HelpError struct {
	// Text is the usage text with all settings.
	Text string
}

// Error returns the usage text.
func (e HelpError) Error() string {
	return e.Text
}

// Parse reads the settings from args, the command line without the program name, and from the
// environment. It reports all invalid settings at once as Errors. With --version it checks no
// settings and sets only Router.Version; with --help it returns a HelpError.
func Parse(args []string) (*Router, error) {
	var raw routerFlags
	parser := flags.NewNamedParser(Program, flags.HelpFlag|flags.IgnoreUnknown)
	if _, err := parser.AddGroup("Settings", "", &raw); err != nil {
		return nil, err
	}
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		return nil, HelpError{Text: err.Error()}
	}
	var c checker
	if err != nil {
		return nil, c.parserError(err)
	}
	if raw.Version {
		return &Router{Version: true}, nil
	}
	router := raw.router(&c)
	for _, arg := range rest {
		c.fail(strings.TrimLeft(arg, "-"), arg, "a flag listed by --help")
	}
	c.checkRelations(router)
	if len(c.errs) > 0 {
		return nil, c.errs
	}
	router.complete(time.Now())
	return router, nil
}

// complete sets the settings that were left out to defaults that depend on other settings or, for
// Incarnation, on the time at which the process started.
func (r *Router) complete(start time.Time) {
	if r.Incarnation == 0 {
		r.Incarnation = uint64(start.UnixMilli())
	}
	if !r.EntryAdvertise.IsValid() {
		r.EntryAdvertise = r.EntryListen
	}
	if !r.PeerAdvertise.IsValid() {
		r.PeerAdvertise = r.PeerListen
	}
}

// checker collects invalid settings.
type checker struct {
	errs Errors
}

// fail records that the setting name has a value that is not allowed.
func (c *checker) fail(name, value, allowed string) {
	c.errs = append(c.errs, Error{Name: name, Value: value, Allowed: allowed})
}

// parserError converts an error of the flag library to Errors.
func (c *checker) parserError(err error) error {
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		return err
	}
	c.fail("help", flagErr.Message, "flags as listed by --help")
	return c.errs
}

// checkRelations checks settings that depend on each other. Settings that are invalid by themselves
// are zero here and are not reported a second time.
func (c *checker) checkRelations(r *Router) {
	c.checkAdvertise("entry-advertise", r.EntryAdvertise, r.EntryListen)
	c.checkAdvertise("peer-advertise", r.PeerAdvertise, r.PeerListen)
	if r.PeerSuspectAfter > 0 && r.PeerSuspectAfter < 2*r.PeerHeartbeatInterval {
		c.fail("peer-suspect-after", r.PeerSuspectAfter.String(), "at least twice peer-heartbeat-interval")
	}
	if r.MaxBodiesBytes > 0 && r.MaxBodiesBytes < r.MaxBodyBytes {
		c.fail("max-bodies-bytes", fmt.Sprint(r.MaxBodiesBytes), "at least max-body-bytes")
	}
	if r.KeyLifetime > 0 && r.KeyLifetime <= r.KeyRight+r.ClockMargin {
		c.fail("key-lifetime", r.KeyLifetime.String(), "more than key-right and clock-margin together")
	}
}

// checkAdvertise rejects an unspecified IP address such as 0.0.0.0, which other routers cannot
// dial. If advertise is not set, listen is the advertised address.
func (c *checker) checkAdvertise(name string, advertise, listen netip.AddrPort) {
	effective := advertise
	if !effective.IsValid() {
		effective = listen
	}
	if effective.IsValid() && effective.Addr().IsUnspecified() {
		c.fail(name, effective.String(), "an IP address other than the unspecified one")
	}
}
