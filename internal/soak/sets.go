package soak

import "slices"

// Sets are named lists of kinds of fault, for runs with the faults that a deployment expects. A kind that stands for
// several expected faults is listed as often.
var Sets = map[string][]Kind{
	"herd-kills":  slices.Concat(commonFaults, herdKills),
	"dark-ends":   slices.Concat(commonFaults, darkEnds),
	"generated":   slices.Repeat([]Kind{TargetGenerated}, 6),
	"out-of-step": newVersionKinds(),
	"spoiled":     {TargetEventTwice, TargetEventLower, TargetEventMissing, TargetBrokenSecond, TargetBrokenFilled, TargetBodyFilled},
}

// commonFaults stand for the faults that all deployments expect. Changes of the load alone have no kind, and callers
// give up in each run.
var commonFaults = []Kind{
	// Answers lost, silently and by a reset.
	TargetCut, TargetReset,
	// Answers broken off, of another request, without framing, or given twice at once or late.
	TargetTruncate, TargetOtherRequestID, TargetUnframed, TargetUnframedBreak, TargetSecondAnswer, TargetLateAnswer,
	// Changes of the configuration: one, many, and while routers return from a kill.
	Publish, Publish, PublishAndKill,
	// Routers killed, cut off from the store, and slow; a zone cut off; a link that loses packets.
	KillRouter, KillRouter, StoreLinkReset, StoreLinkSilence, SlowRouter, ZoneCut, TargetDelay,
	// The store: refusing, silent, compacted while a target leaves.
	StoreDown, StoreSilent, StoreCompact,
	// Planned work: releases, routers stopped in turn and while they answer, targets that leave.
	Release, StopRouters, StopRouter, TargetDrain, TargetLeaving,
	// Targets that work slowly.
	TargetSlow,
}

// herdKills stand for many routers killed at once, reloads, targets that crash and whose addresses refuse
// connections, targets that reset some connections, and a store that refuses some routers.
var herdKills = []Kind{KillRouters, ReloadRouter, TargetCrash, TargetUnframedKill, TargetReset, TargetFail, StoreLinkRefuse}

// darkEnds stand for a router that loses power, one that is killed right after a change, targets that fall silent
// for good, targets that answer some requests slowly, and a store that resets the links of some routers.
var darkEnds = []Kind{KillRouter, PublishAndKill, TargetDark, TargetUnframedDark, TargetSlow, StoreLinkReset}
