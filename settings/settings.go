// Package settings reads the static settings of chiveseam-router from flags
// and environment variables. A flag goes before its variable.
//
// The settings and their code are generated from the schema's RouterSettings
// message by internal/cmd/settingsgen.
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

// Error says what is wrong with one setting.
type Error struct {
	// Name is the flag without its dashes.
	Name string
	// Value is the value found.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error names the setting, its value and the allowed values.
func (e Error) Error() string {
	return fmt.Sprintf("--%s: %q is not allowed: want %s", e.Name, e.Value, e.Allowed)
}

// Errors is all that is wrong with the settings, in the order of the schema.
type Errors []Error

// Error returns one line for each mistake.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, mistake := range e {
		lines[i] = mistake.Error()
	}
	return strings.Join(lines, "\n")
}

// HelpError is returned by Parse when --help was given.
type HelpError struct {
	// Text is the usage with all settings.
	Text string
}

// Error returns the usage.
func (e HelpError) Error() string {
	return e.Text
}

// Parse reads the settings from args, which has no program name, and from the
// environment. All mistakes are reported at once in an Errors value. With
// --version nothing but Version is set; with --help the error is a HelpError.
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
		return nil, c.usage(err)
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

// complete fills the settings that derive from others.
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

// checker collects mistakes.
type checker struct {
	errs Errors
}

func (c *checker) fail(name, value, allowed string) {
	c.errs = append(c.errs, Error{Name: name, Value: value, Allowed: allowed})
}

// usage turns an error of the flag library into Errors.
func (c *checker) usage(err error) error {
	var flagErr *flags.Error
	if !errors.As(err, &flagErr) {
		return err
	}
	c.fail("help", flagErr.Message, "flags as listed by --help")
	return c.errs
}

// checkRelations checks settings against each other. Settings that failed
// before are zero and are left out.
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

// checkAdvertise requires an address that other routers can dial.
func (c *checker) checkAdvertise(name string, advertise, listen netip.AddrPort) {
	effective := advertise
	if !effective.IsValid() {
		effective = listen
	}
	if effective.IsValid() && effective.Addr().IsUnspecified() {
		c.fail(name, effective.String(), "an IP address other than the unspecified one")
	}
}
