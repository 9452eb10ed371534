package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault. Its text names it in reports and on the command line.
type Kind string

// The kinds of fault. Router faults come from signals and from the relays between the router
// and its callers or the store. Target faults come from the stand-in target and from the relay
// in front of it.
const (
	KillRouter       Kind = "router-kill"
	PauseRouter      Kind = "router-pause"
	StopRouter       Kind = "router-stop"
	ReloadRouter     Kind = "router-reload"
	DelayCallers     Kind = "callers-delay"
	ResetCallers     Kind = "callers-reset"
	CutAnswers       Kind = "callers-cut-one-way"
	StoreLinkSilence Kind = "store-link-silent"
	StoreLinkReset   Kind = "store-link-reset"

	StoreDown    Kind = "store-down"
	StoreSilent  Kind = "store-silent"
	StoreCompact Kind = "store-compact"
	StoreRestore Kind = "store-restore"
	Publish      Kind = "configuration"
	PromptCrash  Kind = "prompt-crash"

	TargetCrash          Kind = "target-crash"
	TargetDrain          Kind = "target-drain"
	TargetFull           Kind = "target-full"
	TargetSlow           Kind = "target-slow"
	TargetTruncate       Kind = "target-break"
	TargetOtherRequestID Kind = "target-extra-answer"
	TargetFail           Kind = "target-fail"
	TargetDelay          Kind = "target-delay"
	TargetReset          Kind = "target-reset"
	TargetCut            Kind = "target-cut-one-way"
	TargetSilence        Kind = "target-silence"
	TargetUnframed       Kind = "target-unframed"
	TargetUnframedBreak  Kind = "target-unframed-break"
	TargetLimit          Kind = "target-rate-limit"
	TargetLeaving        Kind = "target-leaving"
	TargetPause          Kind = "target-pause"
	TargetUnframedKill   Kind = "target-unframed-kill"
	TargetRestartStream  Kind = "target-restart-stream"
	// Targets that answer unframed until their processes end. Their addresses then belong to a machine that
	// answers no connection, to something that accepts connections and says nothing, or to a successor under the same ID.
	TargetUnframedDark    Kind = "target-unframed-dark"
	TargetUnframedMute    Kind = "target-unframed-mute"
	TargetUnframedRestart Kind = "target-unframed-restart"
	TargetRestart         Kind = "target-restart"
	TargetDark            Kind = "target-dark"
	TargetSecondAnswer    Kind = "target-second-answer"
	TargetLateAnswer      Kind = "target-late-second-answer"
	TargetEndlessEvent    Kind = "target-endless-event"
	TargetEndlessSecond   Kind = "target-endless-second-event"
	TargetEndlessBody     Kind = "target-endless-body"
	TargetEndlessChunks   Kind = "target-endless-chunks"
	TargetEndlessField    Kind = "target-endless-field"
	TargetEndlessList     Kind = "target-endless-list"
	// Targets that spoil a share of their answers: model engines that write an event twice, with a lower number or not
	// at all, or break a stream off and answer again, without a length or within that of the first answer, and plain
	// targets that do the latter.
	TargetEventTwice   Kind = "target-event-twice"
	TargetEventLower   Kind = "target-event-lower"
	TargetEventMissing Kind = "target-event-missing"
	TargetBrokenSecond Kind = "target-broken-second-answer"
	TargetBrokenFilled Kind = "target-broken-length-filled"
	TargetBodyFilled   Kind = "target-body-length-filled"

	// Targets that draw their answers from a grammar, a share of them with a fault or none. A schedule holds one for each of
	// several targets.
	TargetGenerated      Kind = "target-generated"
	TargetGeneratedSound Kind = "target-generated-sound"

	SlowRouter      Kind = "router-slow"
	StoreLinkRefuse Kind = "store-link-refuse"

	// A schedule holds each KillRouters as several KillRouter at one time, each Release as a
	// TargetRelease of each model engine, each StopRouters as a StopRouter of each router in turn, each ZoneCut
	// as the silence of all targets and of all links to the store of a zone, each PublishAndKill as
	// a Publish and a KillRouter soon after it, and each EndlessAnswers as one of the faults without end of some
	// model engines.
	KillRouters   Kind = "routers-kill"
	Release       Kind = "release"
	TargetRelease Kind = "target-release"

	StopRouters    Kind = "routers-stop"
	ZoneCut        Kind = "zone-cut"
	PublishAndKill Kind = "configuration-and-kill"
	EndlessAnswers Kind = "targets-endless"
)

// Kinds lists all kinds of fault. New ones come last: the schedule that a seed draws depends on the list.
var Kinds = slices.Concat([]Kind{
	KillRouter, PauseRouter, StopRouter, ReloadRouter, DelayCallers, ResetCallers, CutAnswers, StoreLinkSilence, StoreLinkReset,
	StoreDown, StoreSilent, StoreCompact, StoreRestore, Publish, PromptCrash,
	TargetCrash, TargetDrain, TargetFull, TargetSlow, TargetTruncate, TargetOtherRequestID, TargetFail, TargetDelay, TargetReset,
	TargetCut, TargetSilence, TargetUnframed, TargetUnframedBreak, TargetLeaving, TargetPause, TargetLimit,
	KillRouters, Release, TargetUnframedKill, TargetRestartStream, TargetRestart,
	TargetDark, TargetSecondAnswer, TargetLateAnswer, SlowRouter, StoreLinkRefuse, StopRouters, ZoneCut, PublishAndKill, EndlessAnswers,
	TargetUnframedDark, TargetUnframedMute, TargetUnframedRestart,
	TargetEventTwice, TargetEventLower, TargetEventMissing, TargetBrokenSecond, TargetBrokenFilled, TargetBodyFilled,
	TargetGenerated, TargetGeneratedSound,
	ReportsSilent, ReportsInSilent, ReportsOutSilent, ReportsLost, ReportsDelay, ReportsTwice,
	RouterCut, RouterCutPause, RouterCutRestart, RouterCutIn, RouterLate, RouterLossyLate, RoutersCut,
}, newVersionKinds())

// endlessKinds are the kinds that an EndlessAnswers stands for.
var endlessKinds = []Kind{
	TargetEndlessEvent, TargetEndlessSecond, TargetEndlessBody, TargetEndlessChunks, TargetEndlessField, TargetEndlessList,
}

// onRouter reports whether a fault of this kind hits one router.
func (k Kind) onRouter() bool {
	return strings.HasPrefix(string(k), "router-") || strings.HasPrefix(string(k), "callers-") ||
		strings.HasPrefix(string(k), "store-link")
}

// onTarget reports whether a fault of this kind hits one target.
func (k Kind) onTarget() bool { return strings.HasPrefix(string(k), "target-") }

// spoilsStreams reports whether the kind makes a model engine spoil its streams.
func (k Kind) spoilsStreams() bool {
	return strings.HasPrefix(string(k), "target-event-") || strings.HasPrefix(string(k), "target-broken-")
}

// planned reports whether the kind is an operator's planned work, during which no answer may be
// lost.
func (k Kind) planned() bool {
	return k == StopRouter || k == ReloadRouter || k == Publish || k == TargetDrain || k == TargetLeaving ||
		k == TargetRelease
}

// sound reports whether the kind leaves a target able to serve all requests.
func (k Kind) sound() bool { return k == TargetUnframed || k == TargetGeneratedSound }

// Fault is one fault of a schedule.
type Fault struct {
	Kind Kind
	// At is when the fault starts, counted from the start of the traffic, and Duration how long
	// it lasts.
	At, Duration time.Duration
	// Index is the number of the router or target that the fault hits; 0 for other kinds.
	Index int
	// Version is the software version of the targets that a release starts.
	Version int
	// Share is the fraction of drawn answers with a fault.
	Share float64
	// Break is the time after which targets of a new version leave.
	Break time.Duration
}

// disturbsAt returns when the fault may first keep a request from being served, counted from the start of the
// traffic.
func (f Fault) disturbsAt() time.Duration {
	switch f.Kind {
	case TargetUnframedKill, TargetUnframedDark, TargetUnframedMute, TargetUnframedRestart:
		return f.At + f.Duration
	}
	return f.At
}

// String returns the fault as one line of a report.
func (f Fault) String() string {
	text := fmt.Sprintf("%6.2f s  %-20s on %d for %.2f s", f.At.Seconds(), f.Kind, f.Index, f.Duration.Seconds())
	if f.Break > 0 {
		text += fmt.Sprintf(", breaks after %.2f s", f.Break.Seconds())
	}
	return text
}

const (
	// meanInterval is the mean time between the starts of two faults; faults therefore overlap.
	// minDuration and maxDuration bound how long one fault lasts. maxDuration is twice the time
	// after which routers remove a silent router from the fleet.
	meanInterval = 500 * time.Millisecond
	minDuration  = 200 * time.Millisecond
	maxDuration  = 6 * time.Second
	// repeatShare is the fraction of faults after which another fault of the same kind starts
	// within minDuration. Its router or target is drawn anew.
	repeatShare = 0.25
	// allRoutersShare is the fraction of KillRouters that kill all of them.
	allRoutersShare = 0.5
	// stopGap is the time between two StopRouter of a StopRouters, and maxKillDelay the longest time between
	// the Publish and the KillRouter of a PublishAndKill.
	stopGap      = time.Second
	maxKillDelay = 400 * time.Millisecond
)

// Schedule draws the faults of a run, ordered by start. Equal seeds and configurations give
// equal faults.
func Schedule(seed uint64, c Config) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = Kinds
	}
	interval := meanInterval
	if c.Interval > 0 {
		interval = c.Interval
	}
	var faults []Fault
	at, nextVersionAt := time.Duration(0), firstVersionAt
	for {
		at += time.Duration(random.ExpFloat64() * float64(interval))
		if at > c.Length-minDuration {
			break
		}
		f := Fault{Kind: kinds[random.IntN(len(kinds))], At: at}
		if f.Kind.bringsVersion() {
			if at < nextVersionAt {
				continue
			}
			nextVersionAt = at + newVersionGap
		}
		f.Duration = min(minDuration+time.Duration(random.ExpFloat64()*float64(maxDuration/4)), maxDuration, c.Length-at)
		faults = append(faults, drawTargets(random, f, c)...)
		if random.Float64() < repeatShare && !f.Kind.bringsVersion() {
			f.At += time.Duration(random.Float64() * float64(minDuration))
			faults = append(faults, drawTargets(random, f, c)...)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// drawTargets draws the router or target that a fault hits. It returns a fault for each if there are
// several.
func drawTargets(random *rand.Rand, f Fault, c Config) []Fault {
	switch {
	case f.Kind == KillRouters:
		count := c.Routers
		if random.Float64() > allRoutersShare {
			count = min(2+random.IntN(c.Routers), c.Routers)
		}
		f.Kind = KillRouter
		return spread(f, random.Perm(c.Routers)[:count])
	case f.Kind == Release:
		f.Kind, f.Version = TargetRelease, 1+random.IntN(2)
		return spread(f, c.engines())
	case f.Kind == EndlessAnswers:
		f.Kind = endlessKinds[random.IntN(len(endlessKinds))]
		engines := c.engines()
		random.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		return spread(f, engines[:1+random.IntN(len(engines))])
	case f.Kind == StopRouters:
		f.Kind = StopRouter
		faults := spread(f, random.Perm(c.Routers))
		for i := range faults {
			faults[i].At += time.Duration(i) * stopGap
		}
		return slices.DeleteFunc(faults, func(f Fault) bool { return f.At > c.Length })
	case f.Kind == ZoneCut:
		zone := random.IntN(zones)
		links, targets := f, f
		links.Kind, targets.Kind = StoreLinkSilence, TargetSilence
		return append(spread(links, inZone(zone, c.Routers)), spread(targets, inZone(zone, c.Targets))...)
	case f.Kind == PublishAndKill:
		kill := f
		f.Kind, kill.Kind, kill.Index = Publish, KillRouter, random.IntN(c.Routers)
		kill.At += time.Duration(random.Float64() * float64(maxKillDelay))
		return []Fault{f, kill}
	case f.Kind == RoutersCut:
		f.Kind = RouterCut
		routers := inZone(random.IntN(zones), c.Routers)
		return spread(f, routers[:min(2, len(routers))])
	case f.Kind.bringsVersion():
		return drawNewVersion(random, f, c)
	case f.Kind.generated():
		return drawGenerated(random, f, c)
	case f.Kind.onRouter():
		f.Index = random.IntN(c.Routers)
	case f.Kind.spoilsStreams():
		engines := c.engines()
		f.Index = engines[random.IntN(len(engines))]
	case f.Kind == TargetBodyFilled && c.Targets > 1:
		f.Index = 1 + 2*random.IntN(c.Targets/2)
	case f.Kind.onTarget():
		f.Index = random.IntN(c.Targets)
	}
	return []Fault{f}
}

// engines returns the numbers of the targets that are model engines.
func (c Config) engines() []int {
	var engines []int
	for i := 0; i < c.Targets; i += 2 {
		engines = append(engines, i)
	}
	return engines
}

// inZone returns the numbers below count of the routers or targets of a zone.
func inZone(zone, count int) []int {
	var numbers []int
	for i := zone; i < count; i += zones {
		numbers = append(numbers, i)
	}
	return numbers
}

// spread returns the fault once for each index.
func spread(f Fault, indexes []int) []Fault {
	var faults []Fault
	for _, f.Index = range indexes {
		faults = append(faults, f)
	}
	return faults
}
