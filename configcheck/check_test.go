package configcheck_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/configcheck"
	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
	"github.com/chiveseam/chiveseam/platform"
)

// sound is a configuration without findings: line 2 holds a stream, line 3 requests that run once,
// line 4 and 5 the services, line 6 the limits, and line 7 and 8 the workspaces.
const sound = `{"version":7,"routes":[
{"name":"r1","hostname":"a.example","prefix":"/x/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,"target_gap_ms":400,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"resumable":true,"allowed_regions":["north","south"]},
{"name":"r2","hostname":"a.example","prefix":"/y/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":800,"service":"s2","target_gap_ms":0}],"services":[
{"name":"s1","max_connections":360,"engine":{"slots":64,"kv_capacity_tokens":671459,"kv_token_bytes":18432,"link_mbps":88000.0}},
{"name":"s2","cold_start_s":3.0,"cold_per_s":6.1}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":310000},"tenants":[
{"name":"shop","api_keys":["k1","k2"]},
{"name":"press","api_keys":["k3"],"allowed_regions":["south"]}]}`

var zoneRegions = map[string]string{"a": "north", "b": "south", "c": ""}

func describe(t interface{ Fatal(...any) }, text string) *configcheck.Configuration {
	c, err := platform.DescribeConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// edited returns the sound configuration with replacements of pairs of texts.
func edited(t *testing.T, pairs ...string) string {
	text := sound
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("no %s", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// Failure: a mistake that reaches the routers unnoticed, a finding at the wrong place, or one for a
// configuration without mistakes.
func TestFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(configcheck.Check(describe(t, sound), configcheck.Options{ZoneRegions: zoneRegions})), 0)
	const e, w = configcheck.Error, configcheck.Warning
	for _, test := range []struct {
		edit     []string
		severity configcheck.Severity
		line     int
		path     string
		message  string
	}{
		{[]string{`"version":7,`, ``}, e, 1, "version", "no version"},
		{[]string{`"version":7,`, `"version":-7,`}, e, 1, "version", "no version"},
		{[]string{`"/y/"`, `"/x/"`}, e, 3, "routes[1].prefix", "routes[0] has the same host and prefix"},
		{[]string{`"a.example","prefix":"/y/"`, `"A.Example","prefix":"/x/"`}, e, 3, "routes[1].prefix", "the same host"},
		{[]string{`"/y/"`, `"/y"`}, e, 3, "routes[1].prefix", "slash"},
		{[]string{`"/y/"`, `"y/"`}, e, 3, "routes[1].prefix", "slash"},
		{[]string{`"/y/"`, `""`}, e, 3, "routes[1].prefix", "slash"},
		{[]string{`"/y/"`, `"/y?/"`}, e, 3, "routes[1].prefix", "no path contains"},
		{[]string{`"a.example","prefix":"/y/"`, `"a.example:80","prefix":"/y/"`}, e, 3, "routes[1].hostname", "port"},
		{[]string{`"a.example","prefix":"/y/"`, `"*.example","prefix":"/y/"`}, e, 3, "routes[1].hostname", "no host name"},
		{[]string{`"hostname":"a.example","prefix":"/y/"`, `"prefix":"/y/"`}, e, 3, "routes[1].hostname", "no host"},
		{[]string{`"name":"r2"`, `"name":"r1"`}, w, 3, "routes[1].name", "same name"},
		{[]string{`"kind":"non_idempotent"`, `"kind":"later\u001b"`}, e, 3, "routes[1].kind", `unknown kind "later\x1b"`},
		{[]string{`"service":"s2","target_gap_ms"`, `"service":"s3","target_gap_ms"`}, e, 3, "routes[1].service", "no service"},
		{[]string{`"service":"s2","target_gap_ms"`, `"target_gap_ms"`}, e, 3, "routes[1].service", "no service"},
		{[]string{`"service":"s2","weight":10`, `"service":"s3","weight":10`}, e, 2, "routes[0].traffic_split[1].service", "no service"},
		{[]string{`"weight":90`, `"weight":0`, `"weight":10`, `"weight":0`}, e, 2, "routes[0].traffic_split", "sum to 0"},
		{[]string{`"weight":90`, `"weight":-1`}, e, 2, "routes[0].traffic_split[0].weight", "negative"},
		{[]string{`"weight":90`, `"weight":1e308`, `"weight":10`, `"weight":1e308`}, e, 2, "routes[0].traffic_split", "out of range"},
		{[]string{`"timeout_ms":12000`, `"timeout_ms":700`}, e, 2, "routes[0].timeout_ms", "below the latency objective"},
		{[]string{`"timeout_ms":12000`, `"timeout_ms":0`}, e, 2, "routes[0].timeout_ms", "not above 0"},
		{[]string{`"timeout_ms":12000,`, ``}, w, 2, "routes[0].timeout_ms", "no time limit"},
		{[]string{`"target_latency_ms":800,`, ``}, e, 2, "routes[0].target_latency_ms", "given up at once"},
		{[]string{`"target_latency_ms":800,"service"`, `"service"`}, w, 3, "routes[1].target_latency_ms", "no latency objective"},
		{[]string{`"target_gap_ms":400`, `"target_gap_ms":13000`}, e, 2, "routes[0].target_gap_ms", "above the time limit"},
		{[]string{`"target_gap_ms":400`, `"target_gap_ms":0`}, e, 2, "routes[0].target_gap_ms", "not above 0"},
		{[]string{`"target_gap_ms":0`, `"max_attempts":2`}, w, 3, "routes[1].max_attempts", "at most once"},
		{[]string{`"max_attempts":2`, `"max_attempts":-2`}, e, 2, "routes[0].max_attempts", "negative"},
		{[]string{`"max_attempts":2`, `"max_attempts":1`}, w, 2, "routes[0].max_attempts", "does not continue"},
		{[]string{`"target_gap_ms":0`, `"resumable":true`}, e, 3, "routes[1].resumable", "only streams"},
		{[]string{`"name":"s2"`, `"name":"s1"`}, e, 5, "services[1].name", "second time"},
		{[]string{`"service":"s1"`, `"service":"s2"`}, w, 4, "services[0].name", "no route uses"},
		{[]string{`"slots":64`, `"slots":0`}, e, 4, "services[0].engine.slots", "without slots"},
		{[]string{`"slots":64,`, ``}, e, 4, "services[0].engine.slots", "without slots"},
		{[]string{`671459`, `0`}, e, 4, "services[0].engine.kv_capacity_tokens", "not above 0"},
		{[]string{`88000.0`, `-1`}, e, 4, "services[0].engine.link_mbps", "negative"},
		{[]string{`"cold_start_s":3.0,`, ``}, e, 5, "services[1].cold_start_s", "no time"},
		{[]string{`,"cold_per_s":6.1`, `,"cold_per_s":0`}, e, 5, "services[1].cold_per_s", "no rate"},
		{[]string{`16384`, `0`}, e, 6, "limits.max_header_bytes", "not above 0"},
		{[]string{`"idle_timeout_ms":15000`, `"idle_timeout_ms":-1`}, e, 6, "limits.idle_timeout_ms", "not above 0"},
		{[]string{`310000`, `0`}, e, 6, "limits.tokens_per_s", "no throughput"},
		{[]string{`,"tokens_per_s":310000`, ``}, e, 6, "limits.tokens_per_s", "no throughput"},
		{[]string{`"k3"`, `"k1"`}, e, 8, "tenants[1].api_keys[0]", `also that of workspace "shop"`},
		{[]string{`"k2"`, `"k1"`}, w, 7, "tenants[0].api_keys[1]", "twice"},
		{[]string{`"k3"`, `""`}, e, 8, "tenants[1].api_keys[0]", "empty"},
		{[]string{`"api_keys":["k3"],`, ``}, e, 8, "tenants[1].api_keys", "no API key"},
		{[]string{`"tenants"`, `"others"`}, w, 1, "tenants", "need no key"},
		{[]string{`"allowed_regions":["south"]`, `"allowed_regions":["west"]`}, e, 8, "tenants[1].allowed_regions", `leave no zone: "west"`},
		{[]string{`["north","south"]`, `["west","north"]`}, w, 2, "routes[0].allowed_regions", `no zone is in the allowed region "west"`},
		{[]string{`["north","south"]`, `["north"]`}, w, 2, "routes[0].allowed_regions", `"press" allow no region in common`},
		{[]string{`["north","south"]`, `["north"]`, `"k2"]`, `"k2"],"allowed_regions":["south"]`}, e, 2, "routes[0].allowed_regions", "no workspace is left"},
		{[]string{`["north","south"]`, `["north"]`, `"target_gap_ms":0`, `"allowed_regions":["north"]`}, e, 8, "tenants[1].allowed_regions", "all routes"},
	} {
		findings := configcheck.Check(describe(t, edited(t, test.edit...)), configcheck.Options{ZoneRegions: zoneRegions})
		found := false
		for _, f := range findings {
			found = found || f.Severity == test.severity && f.Line == test.line && f.Path == test.path && strings.Contains(f.Message, test.message)
		}
		if !found {
			t.Errorf("%q: no %s at line %d, %s: %s among %+v", test.edit, test.severity, test.line, test.path, test.message, findings)
		}
	}
}

// Failure: limits that look alike but do not contradict each other give a finding.
func TestSoundConfigurationsHaveNoFindings(t *testing.T) {
	is := is.New(t)
	for _, edit := range [][]string{
		{`4096`, `512`},                          // a body limit below the header limit
		{`"link_mbps":88000.0`, `"link_mbps":0`}, // no copies
		{`"kv_capacity_tokens":671459,`, ``},     // the component is off
		{`"cold_start_s":3.0,"cold_per_s":6.1`, `"cold_start_s":0,"cold_per_s":0`},
		{`["south"]`, `[]`}, // restricts nothing
		{`"weight":10`, `"weight":0`},
		{`"max_header_bytes":16384,`, ``},
	} {
		is.Equal(configcheck.Check(describe(t, edited(t, edit...)), configcheck.Options{ZoneRegions: zoneRegions}), nil)
	}
}

// Failure: a configuration is sent that routers ignore, since its version is not above that in force.
func TestVersionMustBeAboveThatInForce(t *testing.T) {
	is := is.New(t)
	for version, want := range map[string]int{"6": 1, "7": 1, "8": 0} {
		checked := describe(t, edited(t, `"version":7`, `"version":`+version))
		is.Equal(configcheck.Count(configcheck.Check(checked, configcheck.Options{InForce: describe(t, sound)}), configcheck.Error), want)
	}
}

// Failure: a change is not shown, or shown without its field and both values.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	text := edited(t, `"version":7`, `"version":8`, `"timeout_ms":800`, `"timeout_ms":900`, `"r1"`, `"r0"`, `360`, `361`,
		`4096`, `8192`, `"k1","k2"`, `"k2","k4"`, `"k3"],`, `"k3","k5"],`)
	var lines []string
	for _, change := range configcheck.Diff(describe(t, sound), describe(t, text)) {
		lines = append(lines, change.String())
	}
	is.Equal(strings.Join(lines, "\n"), fmt.Sprintf(`version: value changes from 7 to 8
route r0 is added
route r1 is removed
route r2: time limit changes from 800ms to 900ms
service s1: other field max_connections changes from one value to another
limits: body bytes changes from 4096 to 8192
workspace press: number of keys changes from 1 to 2
key %v of workspace press is added
key %v of workspace shop is removed
key %v of workspace shop is added`, configcheck.DigestKey("k5"), configcheck.DigestKey("k1"), configcheck.DigestKey("k4")))
}

// Failure: entries in another order, also several of one name, are shown as changes; or a key is
// printed.
func TestOrderIsNoDifferenceAndKeysStaySecret(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := map[string][]map[string]any{}
		for _, list := range []string{"routes", "services", "tenants"} {
			for i := range rapid.IntRange(0, 8).Draw(t, list) {
				name := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "name")
				c[list] = append(c[list], map[string]any{"name": name, "prefix": fmt.Sprint(i % 3), "cold_start_s": i % 2, "api_keys": []string{fmt.Sprintf("secret-%d", i%4)}})
			}
		}
		encode := func(version int) *configcheck.Configuration {
			whole := map[string]any{"version": version}
			for list, entries := range c {
				whole[list] = rapid.Permutation(entries).Draw(t, "order")
			}
			text, _ := json.Marshal(whole)
			return describe(t, string(text))
		}
		one, other := encode(1), encode(2)
		if changes := configcheck.Diff(one, other); len(changes) != 1 {
			t.Fatal(changes)
		}
		all := fmt.Sprint(configcheck.Diff(one, describe(t, sound)), configcheck.Check(one, configcheck.Options{}))
		if strings.Contains(all, "secret-") || strings.Contains(all, "k1") {
			t.Fatal(all)
		}
	})
}
