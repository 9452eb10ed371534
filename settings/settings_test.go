package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// required holds a valid value for each required setting.
var required = []string{
	"--name=r1", "--zone=z1", "--region=north",
	"--entry-listen=127.0.0.1:8000", "--peer-listen=127.0.0.1:8001", "--admin-listen=127.0.0.1:8002",
	"--platform-url=http://127.0.0.1:7000/",
}

// parse parses the arguments in addition to the required settings.
func parse(args ...string) (*Router, error) {
	return Parse(append(append([]string{}, required...), args...))
}

func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	got, err := parse()
	is.NoErr(err)
	is.Equal(got.Name, "r1")
	is.Equal(got.PlatformURL, "http://127.0.0.1:7000")
	is.Equal(got.PeerAdvertise, got.PeerListen)
	is.Equal(got.EntryAdvertise, got.EntryListen)
	is.Equal(got.PeerHeartbeatInterval, 500*time.Millisecond)
	is.Equal(got.CoalesceInterval, time.Duration(0))
	is.Equal(got.LogLevel, "info")
	is.True(got.Incarnation > 0) // derived from the start time
}

func TestFlagOverridesVariable(t *testing.T) {
	is := is.New(t)
	t.Setenv("CHIVESEAM_LOG_LEVEL", "warn")
	t.Setenv("CHIVESEAM_INCARNATION", "7")
	got, err := parse("--log-level=error")
	is.NoErr(err)
	is.Equal(got.LogLevel, "error")
	is.Equal(got.Incarnation, uint64(7))
}

// Each invalid argument gives exactly one error, with the setting, its value and the allowed values.
func TestInvalidSettings(t *testing.T) {
	tests := []struct {
		arg, name, value string
	}{
		{"--name=R1", "name", "R1"},
		{"--incarnation=-1", "incarnation", "-1"},
		{"--entry-listen=localhost:80", "entry-listen", "localhost:80"},
		{"--entry-listen=127.0.0.1:0", "entry-listen", "127.0.0.1:0"},
		{"--peer-listen=0.0.0.0:80", "peer-advertise", "0.0.0.0:80"},
		{"--platform-url=ftp://host", "platform-url", "ftp://host"},
		{"--otlp-url=http://host?x=1", "otlp-url", "http://host?x=1"},
		{"--log-level=loud", "log-level", "loud"},
		{"--peer-suspect-after=900ms", "peer-suspect-after", "900ms"},
		{"--platform-watch-wait=10", "platform-watch-wait", "10"},
		{"--max-open-requests=0", "max-open-requests", "0"},
		{"--max-bodies-bytes=1024", "max-bodies-bytes", "1024"},
		{"--key-right=10m", "key-lifetime", "10m0s"},
		{"--no-such=1", "no-such=1", "--no-such=1"},
		{"stray", "stray", "stray"},
	}
	for _, test := range tests {
		t.Run(test.arg, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(test.arg)
			var errs Errors
			is.True(errors.As(err, &errs))
			is.Equal(len(errs), 1)
			is.Equal(errs[0].Name, test.name)
			is.Equal(errs[0].Value, test.value)
			is.True(errs[0].Allowed != "")
		})
	}
}

// Parse reports all invalid and missing settings together, so that an operator can correct them in
// one go.
func TestInvalidSettingsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]string{"--log-level=loud", "--dial-timeout=0s", "--no-such=1"})
	var errs Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs), len(required)+3)
	is.True(strings.Contains(err.Error(), `--dial-timeout: "0s" is not allowed: want a duration from 10ms to 1m0s`))
}

// --version and --help work although the required settings are missing.
func TestVersionAndHelpNeedNoSettings(t *testing.T) {
	is := is.New(t)
	got, err := Parse([]string{"--version"})
	is.NoErr(err)
	is.True(got.Version)
	_, err = Parse([]string{"--help"})
	var help HelpError
	is.True(errors.As(err, &help))
	is.True(strings.Contains(help.Text, "CHIVESEAM_PLATFORM_URL"))
}
