package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/routing"
)

// Objects of changes.
const (
	objectVersion   = "version"
	objectRoute     = "route"
	objectService   = "service"
	objectLimits    = "limits"
	objectWorkspace = "workspace"
	objectKey       = "key"
	objectOther     = "configuration"
)

const (
	unsetText  = "unset"
	valueField = "value"
	// otherText stands for a value that routers do not read. It may be a secret.
	otherText = "one value"
	// changedText stands for another value of that kind.
	changedText = "another"
)

// property is a field of an object in words and the text of its value.
type property struct {
	name, value string
}

// entry is a named object of a configuration.
type entry struct {
	name       string
	properties []property
	// content is equal for equal entries. entriesOf sets it.
	content string
}

// Diff returns the differences between two configurations: version, routes, services, limits and
// workspaces, each by name. The order of entries in their lists does not count.
func Diff(old, new *Configuration) []config.Change {
	var d differ
	d.fields(objectVersion, "", []property{{valueField, number(old.Version)}}, []property{{valueField, number(new.Version)}})
	d.fields(objectOther, "", unreadProperties(nil, "", old.Unread), unreadProperties(nil, "", new.Unread))
	d.lists(objectRoute, entriesOf(old.Routes, routeEntry), entriesOf(new.Routes, routeEntry))
	d.lists(objectService, entriesOf(old.Services, serviceEntry), entriesOf(new.Services, serviceEntry))
	d.fields(objectLimits, "", limitProperties(old.Limits), limitProperties(new.Limits))
	before, after := old.WorkspacesAt, new.WorkspacesAt
	d.fields(objectWorkspace+" list", "", []property{{valueField, listText(before.Set)}}, []property{{valueField, listText(after.Set)}})
	d.lists(objectWorkspace, entriesOf(old.Workspaces, workspaceEntry), entriesOf(new.Workspaces, workspaceEntry))
	d.keys(old.Workspaces, new.Workspaces)
	return d.changes
}

// listText returns the text of a list of workspaces. Requests need no key if there is none.
func listText(set bool) string {
	if set {
		return "set"
	}
	return unsetText
}

type differ struct {
	changes []config.Change
}

// fields compares the properties of one object. Properties are matched by name.
func (d *differ) fields(object, name string, old, new []property) {
	before, after := propertyMap(old), propertyMap(new)
	seen := make(map[string]bool)
	for _, p := range slices.Concat(new, old) {
		if seen[p.name] {
			continue
		}
		seen[p.name] = true
		a, b := textOr(before, p.name), textOr(after, p.name)
		if a == b {
			continue
		}
		if strings.HasPrefix(p.name, unreadPrefix) {
			a, b = unreadTexts(a, b)
		}
		d.changes = append(d.changes, config.Change{Kind: config.Changed, Object: object, Name: name, Field: p.name, Old: a, New: b})
	}
}

func propertyMap(list []property) map[string]string {
	out := make(map[string]string, len(list))
	for _, p := range list {
		out[p.name] = p.value
	}
	return out
}

func textOr(texts map[string]string, name string) string {
	if text, ok := texts[name]; ok {
		return text
	}
	return unsetText
}

// unreadTexts replaces digests of values by words.
func unreadTexts(old, new string) (string, string) {
	switch {
	case old == unsetText:
		return old, otherText
	case new == unsetText:
		return otherText, new
	}
	return otherText, changedText
}

// lists compares two lists of named entries.
func (d *differ) lists(object string, old, new []entry) {
	before, after := byName(old), byName(new)
	names := slices.Collect(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		a, b := withoutCommon(before[name], after[name])
		for i := range max(len(a), len(b)) {
			switch {
			case i >= len(a):
				d.changes = append(d.changes, config.Change{Kind: config.Added, Object: object, Name: name})
			case i >= len(b):
				d.changes = append(d.changes, config.Change{Kind: config.Removed, Object: object, Name: name})
			default:
				d.fields(object, name, a[i].properties, b[i].properties)
			}
		}
	}
}

// byName groups entries by name. Entries of one name are ordered by their content.
func byName(list []entry) map[string][]entry {
	out := make(map[string][]entry, len(list))
	for _, e := range list {
		out[e.name] = append(out[e.name], e)
	}
	for _, same := range out {
		if len(same) > 1 {
			slices.SortFunc(same, func(a, b entry) int { return strings.Compare(a.content, b.content) })
		}
	}
	return out
}

// withoutCommon removes pairs of equal entries from two lists of the same name, so that the rest
// can be compared in order.
func withoutCommon(old, new []entry) (a, b []entry) {
	count := make(map[string]int, len(new))
	for _, e := range new {
		count[e.content]++
	}
	common := make(map[string]int)
	for _, e := range old {
		if count[e.content] > 0 {
			count[e.content]--
			common[e.content]++
		} else {
			a = append(a, e)
		}
	}
	for _, e := range new {
		if common[e.content] > 0 {
			common[e.content]--
		} else {
			b = append(b, e)
		}
	}
	return a, b
}

// keys compares the API keys of workspaces, which are named by a part of their digests.
func (d *differ) keys(old, new []Workspace) {
	before, after := keysOf(old), keysOf(new)
	all := slices.Concat(before, after)
	slices.SortFunc(all, compareHeldKeys)
	had, has := setOf(before), setOf(after)
	for _, k := range slices.Compact(all) {
		if had[k] == has[k] {
			continue
		}
		kind := config.Added
		if had[k] {
			kind = config.Removed
		}
		name := fmt.Sprintf("%v of workspace %s", k.key, displayName(k.workspace))
		d.changes = append(d.changes, config.Change{Kind: kind, Object: objectKey, Name: name})
	}
}

// heldKey is an API key of a workspace.
type heldKey struct {
	workspace string
	key       KeyDigest
}

func compareHeldKeys(a, b heldKey) int {
	if a.workspace != b.workspace {
		return strings.Compare(a.workspace, b.workspace)
	}
	return slices.Compare(a.key[:], b.key[:])
}

func keysOf(workspaces []Workspace) []heldKey {
	var out []heldKey
	for _, w := range workspaces {
		for _, key := range w.Keys {
			out = append(out, heldKey{w.Name.Value, key.Value})
		}
	}
	return out
}

func setOf(keys []heldKey) map[heldKey]bool {
	out := make(map[heldKey]bool, len(keys))
	for _, k := range keys {
		out[k] = true
	}
	return out
}

func entriesOf[T any](list []T, convert func(*T) entry) []entry {
	out := make([]entry, len(list))
	for i := range list {
		out[i] = convert(&list[i])
		out[i].content = fmt.Sprintf("%q", out[i].properties)
	}
	return out
}

// displayName returns a name as it is, or quoted if it is empty or has characters that cannot be
// printed. Names that differ have different results.
func displayName(name string) string {
	quoted := strconv.Quote(name)
	if quoted == `"`+name+`"` && name != "" {
		return name
	}
	return quoted
}

func routeEntry(r *Route) entry {
	name := r.Name.Value
	if name == "" {
		name = r.Host.Value + r.Prefix.Value
	}
	return entry{name: displayName(name), properties: unreadProperties([]property{
		{"host", quoted(r.Host)}, {"prefix", quoted(r.Prefix)}, {"kind", quoted(r.Kind)},
		{"resumable", strconv.FormatBool(r.Resumable.Value)},
		{"service", quoted(r.Service)}, {"services", splitText(r.Split.Value)},
		{"time limit", value(r.Timeout)}, {"latency objective", value(r.LatencyObjective)},
		{"event gap objective", value(r.EventGapObjective)}, {"max attempts", number(r.MaxAttempts)},
		{"anonymous", strconv.FormatBool(r.Anonymous.Value)}, {"allowed regions", regionsText(r.Regions.Value)},
	}, "", r.Unread)}
}

func serviceEntry(s *Service) entry {
	properties := []property{{"cold start", value(s.ColdStart)}, {"cold rate per second", value(s.ColdPerSecond)}, {"status path", value(s.StatusPath)}}
	if e := s.Engine; e != nil {
		properties = append(properties, property{"engine", "set"},
			property{"engine slots", number(e.Slots)}, property{"engine cache tokens", number(e.KVCacheTokens)},
			property{"engine bytes per token", value(e.TokenBytes)}, property{"engine link Mbit/s", value(e.LinkMegabit)})
		properties = unreadProperties(properties, "engine ", e.Unread)
	}
	return entry{name: displayName(s.Name.Value), properties: unreadProperties(properties, "", s.Unread)}
}

func limitProperties(l Limits) []property {
	return unreadProperties([]property{
		{"header bytes", number(l.HeaderBytes)}, {"body bytes", number(l.BodyBytes)},
		{"header time limit", value(l.HeaderTimeout)}, {"idle time limit", value(l.IdleTimeout)},
		{"tokens per second", value(l.TokensPerSecond)},
	}, "", l.Unread)
}

func workspaceEntry(w *Workspace) entry {
	return entry{name: displayName(w.Name.Value), properties: unreadProperties([]property{
		{"number of keys", strconv.Itoa(len(w.Keys))}, {"allowed regions", regionsText(w.Regions.Value)},
	}, "", w.Unread)}
}

// unreadPrefix begins the names of fields that routers do not read.
const unreadPrefix = "other field "

// unreadProperties adds the fields that routers do not read.
func unreadProperties(list []property, object string, unread Unread) []property {
	for _, name := range slices.Sorted(maps.Keys(unread)) {
		list = append(list, property{unreadPrefix + object + displayName(name), fmt.Sprintf("%x", unread[name])})
	}
	return list
}

func value[T any](f Field[T]) string {
	if !f.Set {
		return unsetText
	}
	return fmt.Sprint(f.Value)
}

func number(f Field[int64]) string {
	return value(f)
}

func quoted(f Field[string]) string {
	if !f.Set {
		return unsetText
	}
	return strconv.Quote(f.Value)
}

// splitText returns the services of a route and their weights, by name.
func splitText(split []Share) string {
	if len(split) == 0 {
		return unsetText
	}
	parts := make([]string, len(split))
	for i, s := range split {
		parts[i] = fmt.Sprintf("%q %v", s.Service.Value, s.Weight.Value)
		for _, p := range unreadProperties(nil, "", s.Unread) {
			parts[i] += " " + p.name + " " + p.value[:2*keyNameBytes]
		}
	}
	slices.Sort(parts)
	return "[" + strings.Join(parts, ", ") + "]"
}

func regionsText(regions routing.Regions) string {
	if regions == nil {
		return unsetText
	}
	sorted := slices.Sorted(slices.Values(regions))
	return fmt.Sprintf("%q", slices.Compact(sorted))
}
