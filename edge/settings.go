package edge

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings are the settings of one router, read from a file of "name = value" lines. The names are
// those of the long tags.
type Settings struct {
	Name   string `long:"name" description:"Name of the instance, unique in the deployment." required:"yes"`
	Zone   string `long:"zone" description:"Availability zone of the instance." required:"yes"`
	Listen string `long:"listen" description:"Address for callers, as IP:port." required:"yes"`
	Ready  string `long:"ready" description:"Address at which the balancer asks for readiness, as IP:port." required:"yes"`
	Peer   string `long:"peer" description:"Address for reports of other routers (UDP), as IP:port." required:"yes"`
	// Metrics is empty if the router serves no metrics.
	Metrics string `long:"metrics" description:"Address of metrics, as IP:port; empty serves none."`
	OTLPURL string `long:"otlp-url" description:"Base URL of the OTLP collector for traces; empty sends none."`
	Seeds   string `long:"seeds" description:"Addresses of other routers, as IP:port, separated by commas; ports are replaced by that of peer."`
	Store   string `long:"store" description:"Address of the platform's store, as IP:port." required:"yes"`

	Grace        time.Duration `long:"grace" description:"Time from the stop signal until the process is killed." default:"8s"`
	RetryRatio   float64       `long:"retry-ratio" description:"Repeated attempts for each request of a service in the whole fleet." default:"0.2"`
	RetryMin     int           `long:"retry-min" description:"Repeated attempts in a window that need no requests, in the whole fleet." default:"50"`
	RetryWindow  time.Duration `long:"retry-window" description:"Window of the retry budget." default:"10s"`
	ShareWindow  time.Duration `long:"share-window" description:"Window in which workspaces get their shares." default:"4s"`
	LapsedGrace  time.Duration `long:"lapsed-grace" description:"Time after the store's return in which registrations that lapsed may come back." default:"2s"`
	MemoryMB     int           `long:"memory-mb" description:"Memory of the process in MB." default:"256"`
	MaxOpenFiles int           `long:"max-open-files" description:"File descriptors of the process." default:"4096"`
	LogLevel     string        `long:"log-level" description:"Least severity that is logged: debug, info, warn or error." default:"info"`
	// SettingsFilePath is the file that the settings were read from. Reload reads it again.
	SettingsFilePath string `no-ini:"true"`
}

// ReadSettings reads and validates a settings file. Unknown names are ignored. The error lists all
// invalid values; a line that cannot be parsed ends the reading and is reported alone. The program
// calls it at its start, and Reload calls it later.
func ReadSettings(path string) (*Settings, error) {
	var s Settings
	parser := flags.NewParser(&s, flags.IgnoreUnknown)
	// Parsing no arguments sets the defaults. Required values come from the file.
	if _, err := parser.ParseArgs(nil); err != nil && !isRequired(err) {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := flags.NewIniParser(parser).ParseFile(path); err != nil {
		return nil, fmt.Errorf("settings: %w%s", err, offendingLine(path, err))
	}
	s.SettingsFilePath = path
	return &s, s.validate()
}

// WriteSettingsHelp writes all settings with their descriptions and defaults to w.
func WriteSettingsHelp(w io.Writer) {
	var s Settings
	parser := flags.NewParser(&s, flags.None)
	parser.WriteHelp(w)
}

// offendingLine returns the text of the line in the file at path that a parse error refers to,
// formatted for the error message; "" if there is none.
func offendingLine(path string, err error) string {
	var iniErr *flags.IniError
	if !errors.As(err, &iniErr) {
		return ""
	}
	text, err := os.ReadFile(path)
	lines := strings.Split(string(text), "\n")
	if err != nil || iniErr.LineNumber == 0 || int(iniErr.LineNumber) > len(lines) {
		return ""
	}
	return fmt.Sprintf(" in %q", lines[iniErr.LineNumber-1])
}

// isRequired reports whether an error only says that required values are missing.
func isRequired(err error) bool {
	var flagErr *flags.Error
	return errors.As(err, &flagErr) && flagErr.Type == flags.ErrRequired
}

// validate returns an error that lists all invalid values, one per line.
func (s *Settings) validate() error {
	var errs []error
	for _, text := range []struct{ name, value string }{{"name", s.Name}, {"zone", s.Zone}} {
		if text.value == "" {
			errs = append(errs, fmt.Errorf("settings: %s is missing", text.name))
		}
	}
	for _, address := range []struct{ name, value string }{
		{"listen", s.Listen}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			errs = append(errs, fmt.Errorf("settings: %s = %q: want IP:port", address.name, address.value))
		}
	}
	for _, positive := range []struct {
		name  string
		value time.Duration
	}{{"grace", s.Grace}, {"retry-window", s.RetryWindow}, {"share-window", s.ShareWindow}} {
		if positive.value <= 0 {
			errs = append(errs, fmt.Errorf("settings: %s = %v: want a positive time", positive.name, positive.value))
		}
	}
	if _, err := s.SeedAddresses(); err != nil {
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// SeedAddresses returns the addresses for reports to the seeds: the IP address of each seed with
// the port of this router's own Peer address. The error names the invalid value.
func (s *Settings) SeedAddresses() ([]netip.AddrPort, error) {
	own, err := netip.ParseAddrPort(s.Peer)
	if err != nil {
		return nil, fmt.Errorf("settings: peer = %q: want IP:port", s.Peer)
	}
	var out []netip.AddrPort
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		if seed == "" {
			continue
		}
		addr, err := netip.ParseAddrPort(strings.TrimSpace(seed))
		if err != nil {
			return nil, fmt.Errorf("settings: seeds: %q: want IP:port", seed)
		}
		out = append(out, netip.AddrPortFrom(addr.Addr(), own.Port()))
	}
	return out, nil
}
