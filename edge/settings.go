package edge

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/jessevdk/go-flags"
)

// Settings are the settings of one router.
type Settings struct {
	// Name is the name of the instance and Zone its availability zone.
	Name, Zone string
	// Listen, Ready, Peer and Store are addresses as IP:port; Metrics is one too, or empty if the
	// router serves no metrics.
	Listen, Ready, Peer, Metrics, Store string
	// OTLPURL is the base URL of the collector for traces; empty if none are sent.
	OTLPURL string
	// Seeds are addresses of other routers as IP:port, separated by commas.
	Seeds string

	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// RetryRatio, RetryMin and RetryWindow are the limits of the retry budget: in each window the
	// fleet may repeat RetryRatio attempts for each request of a service, and RetryMin more.
	RetryRatio, RetryMin float64
	RetryWindow          time.Duration
	// Heartbeat is the interval at which targets register again.
	Heartbeat time.Duration
	// ShareWindow is the window in which workspaces get their shares.
	ShareWindow time.Duration
	// ColdOverage and ColdSlack bound the requests that a cold target gets in any second, from all
	// routers: ColdOverage times the rate of its service, and ColdSlack more.
	ColdOverage, ColdSlack float64
	// LapsedGrace is the time after the store's return in which registrations that lapsed may come
	// back.
	LapsedGrace time.Duration
	// ZoneRegions holds the region of each availability zone; "" if it is not known.
	ZoneRegions map[string]string
	// LinkMbps is the rate of the network link in each direction in 10^6 bits per second; 0 if it is
	// not known.
	LinkMbps float64
	// MemoryMB and MaxOpenFiles are the limits of the process.
	MemoryMB, MaxOpenFiles int
	LogLevel               string
	// PrefixWeighing weighs cached prompt parts by a model of the engines' memory, where the
	// configuration states its size.
	PrefixWeighing bool

	// Defaulted names the settings for which the file has a line without a value.
	Defaulted []string
	// SettingsFilePath is the file that the settings were read from. Reload reads it again.
	SettingsFilePath string
}

// settingsFile holds the lines of a settings file. The names are those of the long tags.
type settingsFile struct {
	Name    string `long:"name" description:"Name of the instance, unique in the deployment." required:"yes"`
	Zone    string `long:"zone" description:"Availability zone of the instance." required:"yes"`
	Listen  string `long:"listen" description:"Address for callers, as IP:port." required:"yes"`
	Ready   string `long:"ready" description:"Address at which the balancer asks for readiness, as IP:port." required:"yes"`
	Peer    string `long:"peer" description:"Address for reports of other routers (UDP), as IP:port." required:"yes"`
	Metrics string `long:"metrics" description:"Address of metrics, as IP:port; empty serves none."`
	OTLPURL string `long:"otlp-url" description:"Base URL of the OTLP collector for traces; empty sends none."`
	Seeds   string `long:"seeds" description:"Addresses of other routers, as IP:port, separated by commas; ports are replaced by that of peer."`
	Store   string `long:"store" description:"Address of the platform's store, as IP:port." required:"yes"`

	ZoneRegions string `long:"zone-regions" description:"Regions of the availability zones, as ZONE=REGION, separated by commas."`

	Grace        string `long:"grace" description:"Time from the stop signal until the process is killed." default:"8s"`
	RetryRatio   string `long:"retry-ratio" description:"Repeated attempts for each request of a service in the whole fleet." default:"0.2"`
	RetryMin     string `long:"retry-min" description:"Repeated attempts in a window that need no requests, in the whole fleet." default:"50"`
	RetryWindow  string `long:"retry-window" description:"Window of the retry budget." default:"10s"`
	Heartbeat    string `long:"heartbeat" description:"Interval at which targets register again." default:"1s"`
	ShareWindow  string `long:"share-window" description:"Window in which workspaces get their shares." default:"4s"`
	ColdOverage  string `long:"cold-overage" description:"Requests that a cold target may get in any second, in multiples of the rate of its service." default:"1"`
	ColdSlack    string `long:"cold-slack" description:"Requests that a cold target may get in any second beyond that." default:"0"`
	LapsedGrace  string `long:"lapsed-grace" description:"Time after the store's return in which registrations that lapsed may come back." default:"2s"`
	LinkMbps     string `long:"link-mbps" description:"Rate of the network link in each direction in 10^6 bits per second; 0 if it is not known." default:"0"`
	MemoryMB     string `long:"memory-mb" description:"Memory of the process in MB." default:"256"`
	MaxOpenFiles string `long:"max-open-files" description:"File descriptors of the process." default:"4096"`
	Weighing     string `long:"prefix-weighing" description:"Weigh cached prompt parts by a model of the engines' memory, if the configuration states its size: on or off." default:"off"`
	LogLevel     string `long:"log-level" description:"Least severity that is logged: debug, info, warn or error." default:"info"`
}

// ReadSettings reads and validates a settings file of "name = value" lines. Unknown names are
// ignored, and a figure without a value takes its default. The error lists all invalid values; a
// line that cannot be parsed ends the reading and is reported alone. The program calls it at its
// start, and Reload calls it later.
func ReadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := parseSettings(string(text))
	if err != nil {
		return nil, err
	}
	s.SettingsFilePath = path
	return s, nil
}

// parseSettings parses and validates the text of a settings file.
func parseSettings(text string) (*Settings, error) {
	var f settingsFile
	parser := flags.NewParser(&f, flags.IgnoreUnknown)
	// Parsing no arguments sets the defaults. Required values come from the file.
	if _, err := parser.ParseArgs(nil); err != nil && !isRequired(err) {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := flags.NewIniParser(parser).Parse(strings.NewReader(text)); err != nil {
		return nil, fmt.Errorf("settings: %w%s", err, offendingLine(text, err))
	}
	s := &Settings{
		Name: f.Name, Zone: f.Zone, Listen: f.Listen, Ready: f.Ready, Peer: f.Peer, Store: f.Store,
		Metrics: f.Metrics, OTLPURL: f.OTLPURL, Seeds: f.Seeds, LogLevel: f.LogLevel,
	}
	figures := &figureReader{parser: parser, text: text}
	s.Grace = figures.duration("grace", f.Grace, minDuration)
	s.RetryRatio = figures.number("retry-ratio", f.RetryRatio)
	s.RetryMin = figures.number("retry-min", f.RetryMin)
	s.RetryWindow = figures.duration("retry-window", f.RetryWindow, minDuration)
	s.Heartbeat = figures.duration("heartbeat", f.Heartbeat, minDuration)
	s.ShareWindow = figures.duration("share-window", f.ShareWindow, minDuration)
	s.ColdOverage = figures.number("cold-overage", f.ColdOverage)
	s.ColdSlack = figures.number("cold-slack", f.ColdSlack)
	s.LapsedGrace = figures.duration("lapsed-grace", f.LapsedGrace, 0)
	s.LinkMbps = figures.number("link-mbps", f.LinkMbps)
	s.MemoryMB = figures.whole("memory-mb", f.MemoryMB)
	s.MaxOpenFiles = figures.whole("max-open-files", f.MaxOpenFiles)
	s.PrefixWeighing = figures.onOff("prefix-weighing", f.Weighing)
	s.Defaulted = figures.defaulted
	var regionsErr error
	s.ZoneRegions, regionsErr = ParseZoneRegions(f.ZoneRegions)
	if err := errors.Join(append(figures.errs, regionsErr, s.validate())...); err != nil {
		return nil, err
	}
	return s, nil
}

// WriteSettingsHelp writes all settings with their descriptions and defaults to w.
func WriteSettingsHelp(w io.Writer) {
	var f settingsFile
	parser := flags.NewParser(&f, flags.None)
	parser.WriteHelp(w)
}

// offendingLine returns the line of a settings file that a parse error refers to, formatted for the
// error message; "" if there is none.
func offendingLine(text string, err error) string {
	var iniErr *flags.IniError
	if !errors.As(err, &iniErr) {
		return ""
	}
	lines := strings.Split(text, "\n")
	if iniErr.LineNumber == 0 || int(iniErr.LineNumber) > len(lines) {
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
		switch {
		case text.value == "":
			errs = append(errs, fmt.Errorf("settings: %s is missing", text.name))
		case !utf8.ValidString(text.value) || strings.ContainsFunc(text.value, unicode.IsControl):
			// Reports to other routers hold UTF-8 only.
			errs = append(errs, fmt.Errorf("settings: %s = %q: want text", text.name, text.value))
		}
	}
	for _, address := range []struct{ name, value string }{
		{"listen", s.Listen}, {"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			errs = append(errs, fmt.Errorf("settings: %s = %q: want IP:port", address.name, address.value))
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

// hasOtherSeeds reports whether there are seeds other than this router.
func (s *Settings) hasOtherSeeds() bool {
	seeds, err := s.SeedAddresses()
	return err == nil && slices.ContainsFunc(seeds, func(seed netip.AddrPort) bool { return seed.String() != s.Peer })
}
