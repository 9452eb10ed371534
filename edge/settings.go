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

// Settings are those of one router at the edge. They come from a file of
// "name = value" lines, whose names are those of the flags.
type Settings struct {
	Name   string `long:"name" description:"Name of the instance, unique in the deployment." required:"yes"`
	Zone   string `long:"zone" description:"Availability zone of the instance." required:"yes"`
	Listen string `long:"listen" description:"Address for callers, as IP:port." required:"yes"`
	Ready  string `long:"ready" description:"Address at which the balancer asks for readiness, as IP:port." required:"yes"`
	Peer   string `long:"peer" description:"Address for reports of other routers (UDP), as IP:port." required:"yes"`
	// Metrics is empty on routers that serve none.
	Metrics string `long:"metrics" description:"Address of metrics, as IP:port; empty serves none."`
	OTLPURL string `long:"otlp-url" description:"Base URL of the OTLP collector for traces; empty sends none."`
	Seeds   string `long:"seeds" description:"Addresses of other routers, as IP:port, separated by commas; ports are replaced by that of peer."`
	Store   string `long:"store" description:"Address of the platform's store, as IP:port." required:"yes"`

	Grace            time.Duration `long:"grace" description:"Time from the stop signal until the process is killed." default:"8s"`
	RetryRatio       float64       `long:"retry-ratio" description:"Repeated attempts for each request of a service in the whole fleet." default:"0.2"`
	RetryMin         int           `long:"retry-min" description:"Repeated attempts in a window that need no requests, in the whole fleet." default:"50"`
	RetryWindow      time.Duration `long:"retry-window" description:"Window of the retry budget." default:"10s"`
	ShareWindow      time.Duration `long:"share-window" description:"Window in which workspaces get their shares." default:"4s"`
	LapsedGrace      time.Duration `long:"lapsed-grace" description:"Time after the store's return in which registrations that lapsed may come back." default:"2s"`
	MemoryMB         int           `long:"memory-mb" description:"Memory of the process in MB." default:"256"`
	MaxOpenFiles     int           `long:"max-open-files" description:"File descriptors of the process." default:"4096"`
	LogLevel         string        `long:"log-level" description:"Least severity that is logged: debug, info, warn or error." default:"info"`
	SettingsFilePath string        `no-ini:"true"`
}

// ReadSettings reads and checks a settings file. Unknown names are ignored. All
// mistakes are reported at once.
func ReadSettings(path string) (*Settings, error) {
	var s Settings
	parser := flags.NewParser(&s, flags.IgnoreUnknown)
	// Defaults are set by parsing no arguments; what is required comes from the file.
	if _, err := parser.ParseArgs(nil); err != nil && !isRequired(err) {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := flags.NewIniParser(parser).ParseFile(path); err != nil {
		return nil, fmt.Errorf("settings: %w%s", err, lineOf(path, err))
	}
	s.SettingsFilePath = path
	return &s, s.check()
}

// WriteSettingsHelp lists all settings with their defaults.
func WriteSettingsHelp(w io.Writer) {
	var s Settings
	parser := flags.NewParser(&s, flags.None)
	parser.WriteHelp(w)
}

// lineOf returns the text of the line that an error names.
func lineOf(path string, err error) string {
	var where *flags.IniError
	if !errors.As(err, &where) {
		return ""
	}
	text, err := os.ReadFile(path)
	lines := strings.Split(string(text), "\n")
	if err != nil || where.LineNumber == 0 || int(where.LineNumber) > len(lines) {
		return ""
	}
	return fmt.Sprintf(" in %q", lines[where.LineNumber-1])
}

func isRequired(err error) bool {
	var flagErr *flags.Error
	return errors.As(err, &flagErr) && flagErr.Type == flags.ErrRequired
}

// check returns all mistakes, one in a line.
func (s *Settings) check() error {
	var mistakes []error
	for _, text := range []struct{ name, value string }{{"name", s.Name}, {"zone", s.Zone}} {
		if text.value == "" {
			mistakes = append(mistakes, fmt.Errorf("settings: %s is missing", text.name))
		}
	}
	for _, address := range []struct{ name, value string }{
		{"listen", s.Listen}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			mistakes = append(mistakes, fmt.Errorf("settings: %s = %q: want IP:port", address.name, address.value))
		}
	}
	for _, positive := range []struct {
		name  string
		value time.Duration
	}{{"grace", s.Grace}, {"retry-window", s.RetryWindow}, {"share-window", s.ShareWindow}} {
		if positive.value <= 0 {
			mistakes = append(mistakes, fmt.Errorf("settings: %s = %v: want a positive time", positive.name, positive.value))
		}
	}
	if _, err := s.SeedAddresses(); err != nil {
		mistakes = append(mistakes, err)
	}
	return errors.Join(mistakes...)
}

// SeedAddresses returns where the seeds take reports: at their IP address and
// the port of this router's own peer address.
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
