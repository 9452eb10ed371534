package edge

import (
	"fmt"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/h1"
)

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// templateTexts are the values of the placeholders in the template that are no figures.
var templateTexts = map[string]string{
	"node_name": "r1", "zone": "a", "listen.front": "10.0.0.1:80", "listen.ready": "10.0.0.1:81", "ip": "10.0.0.1",
	"internal_ports.0": "7400", "seeds": "10.0.0.2:8785", "platform_config.address": "10.0.0.9:8781",
	"#zones": "", "@": "a", ".": "north", ",": "", "/zones": "",
}

// fillTemplate returns the settings file that the platform makes of the template. Figures that
// values does not name are 7.
func fillTemplate(t testing.TB, values map[string]string) string {
	text, err := os.ReadFile("../deploy/edge.ini.template")
	if err != nil {
		t.Fatal(err)
	}
	return placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		if value, ok := values[name]; ok {
			return value
		}
		if value, ok := templateTexts[name]; ok {
			return value
		}
		return "7"
	})
}

// templateFigures are the placeholders of figures, with the value that the router uses.
var templateFigures = []struct {
	placeholder, setting string
	value                func(*Settings) float64
	// whole is set if a fraction is cut off.
	whole bool
	// standard is the value of the default.
	standard float64
}{
	{"bounds.grace_s", "grace", func(s *Settings) float64 { return s.Grace.Seconds() }, false, 8},
	{"bounds.retry_budget_ratio", "retry-ratio", func(s *Settings) float64 { return s.RetryRatio }, false, 0.2},
	{"bounds.budget_min_retries", "retry-min", func(s *Settings) float64 { return s.RetryMin }, false, 50},
	{"bounds.budget_window_s", "retry-window", func(s *Settings) float64 { return s.RetryWindow.Seconds() }, false, 10},
	{"bounds.quota_window_s", "share-window", func(s *Settings) float64 { return s.ShareWindow.Seconds() }, false, 4},
	{"heartbeat_ms", "heartbeat", func(s *Settings) float64 { return float64(s.Heartbeat) / float64(time.Millisecond) }, false, 1000},
	{"bounds.cold_overage", "cold-overage", func(s *Settings) float64 { return s.ColdOverage }, false, 1},
	{"bounds.cold_slack", "cold-slack", func(s *Settings) float64 { return s.ColdSlack }, false, 0},
	{"limits.memory_mb", "memory-mb", func(s *Settings) float64 { return float64(s.MemoryMB) }, true, 256},
	{"limits.max_fds", "max-open-files", func(s *Settings) float64 { return float64(s.MaxOpenFiles) }, true, 4096},
}

// Failure: the platform gives a figure as a fraction, and no router of the deployment starts.
func TestFiguresOfTheTemplateAreReadInEachForm(t *testing.T) {
	for _, figure := range templateFigures {
		t.Run(figure.placeholder, func(t *testing.T) {
			is := is.New(t)
			for _, form := range []struct {
				text string
				want float64
			}{{"12", 12}, {"38.29787234042553", 38.29787234042553}, {"1.25e1", 12.5}, {"2E+01", 20}, {"12.0", 12}, {"", figure.standard}} {
				s, err := parseSettings(fillTemplate(t, map[string]string{figure.placeholder: form.text}))
				is.NoErr(err)
				want := form.want
				if figure.whole {
					want = math.Trunc(want)
				}
				is.True(math.Abs(figure.value(s)-want) < 1e-6) // the value is another one
				is.Equal(strings.Join(s.Defaulted, ","), map[bool]string{true: figure.setting}[form.text == ""])
			}
		})
	}
}

// Failure: a figure that makes no sense is used, or the error does not say which one it is.
func TestFiguresWithoutSenseAreRefused(t *testing.T) {
	for _, figure := range templateFigures {
		for _, text := range []string{"-1", "NaN", "Inf", "+Inf", "-Inf", "1e300", "some", "1,5", "0x", "true"} {
			t.Run(figure.placeholder+"="+text, func(t *testing.T) {
				is := is.New(t)
				file := fillTemplate(t, map[string]string{figure.placeholder: text})
				_, err := parseSettings(file)
				is.True(err != nil)
				line := 1 + strings.Count(file[:strings.Index(file, "\n"+figure.setting+" =")+1], "\n")
				for _, part := range []string{figure.setting, text, fmt.Sprintf("(line %d)", line)} {
					is.True(strings.Contains(err.Error(), part)) // the error does not name it
				}
			})
		}
	}
}

// All figures without sense are named, not only the first one.
func TestAllFiguresWithoutSenseAreNamed(t *testing.T) {
	is := is.New(t)
	values := map[string]string{}
	for _, figure := range templateFigures {
		values[figure.placeholder] = "-1"
	}
	_, err := parseSettings(fillTemplate(t, values))
	is.True(err != nil)
	is.Equal(strings.Count(err.Error(), "settings: "), len(templateFigures))
}

func TestDurationsKeepTheirOtherForms(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{"500ms": 500 * time.Millisecond, "1m30s": 90 * time.Second, ".5s": time.Second / 2} {
		d, err := parseDuration(text)
		is.NoErr(err)
		is.Equal(d, want)
	}
}

// Failure: a settings file stops the router by a panic, or puts a figure without sense in force.
func FuzzSettings(f *testing.F) {
	f.Add(fillTemplate(f, nil))
	f.Add(fillTemplate(f, map[string]string{"bounds.grace_s": "1e1", "limits.memory_mb": ""}))
	f.Add("grace = \"8s\n[other]\nretry-min : NaN\n\xff = ")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parseSettings(text)
		if err != nil {
			return
		}
		ok := s.Grace > 0 && s.RetryWindow > 0 && s.ShareWindow > 0 && s.LapsedGrace >= 0 && s.MemoryMB > 0 &&
			s.MaxOpenFiles > 0 && s.RetryMin >= 0 && s.RetryRatio >= 0
		if !ok {
			t.Errorf("accepted %+v", s)
		}
	})
}

// Failure: the weighing of prompt prefixes is on or off by a misspelt value, or on without one, which would change deployments that do not ask for it.
func TestPrefixWeighingIsOnOrOff(t *testing.T) {
	is := is.New(t)
	for line, want := range map[string]bool{"": false, "prefix-weighing =": false, "prefix-weighing = on": true, "prefix-weighing = off": false} {
		s, err := parseSettings(fillTemplate(t, nil) + line + "\n")
		is.NoErr(err)
		is.Equal(s.PrefixWeighing, want)
	}
	_, err := parseSettings(fillTemplate(t, nil) + "prefix-weighing = true\n")
	is.True(err != nil && strings.Contains(err.Error(), "want on or off"))
}

// Failure: a caller lists thousands of prompt parts, each of which takes more memory than its text. Their tokens count all
// the same.
func TestPromptPartsAreBounded(t *testing.T) {
	is := is.New(t)
	names := testHeaders()
	parts := names.promptParts(h1.Header{{Name: names.PromptParts, Value: strings.Repeat("a:2,", 3000) + "b:2"}})
	is.Equal(len(parts), maxPromptParts)
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	is.Equal(tokens, 6002)
}

// Failure: a router whose name or zone is no text starts, or takes it over at a reload, and none of its reports to other routers
// can be encoded.
func TestNamesThatAreNoTextAreRefused(t *testing.T) {
	for _, setting := range []string{"node_name", "zone"} {
		for _, text := range []string{"a\xff", "\xc3", "a\x00b", `"a\xff"`, "a\x7f"} {
			is := is.New(t)
			_, err := parseSettings(fillTemplate(t, map[string]string{setting: text}))
			is.True(err != nil && strings.Contains(err.Error(), "want text"))
		}
		_, err := parseSettings(fillTemplate(t, map[string]string{setting: "zürich 1"}))
		is.New(t).NoErr(err)
	}
}
