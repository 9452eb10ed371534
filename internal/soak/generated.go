package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/chiveseam/chiveseam/platform/standin"
)

const (
	// minFaultShare and maxFaultShare bound the fraction of drawn answers with a fault.
	minFaultShare = 0.1
	maxFaultShare = 0.6
	// allGeneratedShare is the fraction of faults with drawn answers that hit all targets.
	allGeneratedShare = 0.5
	// maxGeneratedEvents bounds the events of short streams in runs with drawn answers.
	maxGeneratedEvents = 24
	// movedShare is the fraction of callers that take a refused stream up at another router than the one that refused it.
	movedShare = 0.5
)

// generated reports whether targets with a fault of the kind draw their answers from a grammar.
func (k Kind) generated() bool { return k == TargetGenerated || k == TargetGeneratedSound }

// drawGenerated draws the targets that draw their answers, and the share of answers with a fault.
func drawGenerated(random *rand.Rand, f Fault, c Config) []Fault {
	if f.Kind == TargetGenerated {
		f.Share = minFaultShare + random.Float64()*(maxFaultShare-minFaultShare)
	}
	count := c.Targets
	if random.Float64() > allGeneratedShare {
		count = 1 + random.IntN(c.Targets)
	}
	return spread(f, random.Perm(c.Targets)[:count])
}

// grammar returns the grammar of a fault's answers.
func (c Config) grammar(f Fault) *standin.Grammar {
	g := &standin.Grammar{Seed: c.Seed, FaultShare: f.Share, Faults: c.AnswerFaults}
	if len(g.Faults) == 0 {
		g.Faults = standin.AnswerFaults
	}
	return g
}

// generates reports whether targets may draw answers from a grammar because the configuration asks for it.
func (c Config) generates() bool { return slices.ContainsFunc(c.Kinds, Kind.generated) }

// lastEvent returns the ID of the last event of a body as a caller of one of the two kinds reads it, or the number of
// events that it then has, and the number of events in the body.
func lastEvent(body string, loneCR bool, before int) (last, count int) {
	events, _ := standin.SplitEvents(body, loneCR)
	last = before + len(events)
	if len(events) > 0 {
		if id, err := strconv.Atoi(standin.EventID(events[len(events)-1])); err == nil {
			last = id
		}
	}
	return last, len(events)
}

// isGenerated reports whether a target has drawn an answer to the request.
func (r *request) isGenerated() bool {
	return slices.ContainsFunc(r.runs, func(run standin.Run) bool { return run.Answer != "" })
}

// checkGenerated checks what the caller of a stream holds of drawn answers, as callers read it that know all line ends
// and as those do that know LF and CRLF only: the events that follow those before, each as its target wrote it, of one
// software version. An answer that ends as whole holds the last one. A stream is reported once. c.mu is held.
func (c *checker) checkGenerated(r *request) {
	stream := r.stream()
	for _, loneCR := range []bool{true, false} {
		if stream.spoiled || !loneCR && slices.ContainsFunc(r.runs, func(run standin.Run) bool { return run.LoneCR }) {
			return
		}
		events, rest := standin.SplitEvents(r.answer.body, loneCR)
		last := r.lastEvent
		for _, event := range events {
			last++
			version := standin.EventVersion(event)
			if stream.version == "" {
				stream.version = version
			}
			if err := standin.CheckEvent(event, version, r.id, last); err != nil {
				c.failGenerated(r, promiseStream, "event %d, lone CR %t: %v: %.200q", last, loneCR, err, event)
			} else if version != stream.version {
				c.countMixed(r)
				c.failGenerated(r, promiseStreamVersion, "event %d is of version %s, the first one of %s", last, version, stream.version)
			}
		}
		if r.answer.complete && r.answer.status < 300 && (last != r.events || rest != "") {
			c.failGenerated(r, promiseStream, "the answer ends as complete after event %d of %d and %.200q, lone CR %t", last, r.events, rest, loneCR)
		}
	}
}

// failGenerated is fail for a stream of drawn answers, which breaks a promise once. c.mu is held.
func (c *checker) failGenerated(r *request, promise, format string, args ...any) {
	stream := r.stream()
	if stream.spoiled {
		return
	}
	stream.spoiled = true
	c.fail(promise, r.id, format, args...)
	resumable := "not resumable"
	if r.route.resumable {
		resumable = "resumable"
	}
	c.counts["drawn streams broken, "+resumable]++
	for _, fault := range stream.answerFaults() {
		c.counts["drawn streams broken with "+fault]++
	}
}

// answerFaults returns the faults of the drawn answers to the tries of a stream, each once. c.mu is held.
func (r *request) answerFaults() []string {
	var faults []string
	for _, try := range r.tries {
		for _, run := range try.runs {
			if fault := string(run.AnswerFault); fault != "" && !slices.Contains(faults, fault) {
				faults = append(faults, fault)
			}
		}
	}
	return faults
}

// drawnAnswers describes the drawn answers to the tries of a stream, or to a request. c.mu is held.
func (r *request) drawnAnswers() string {
	var words []string
	for _, try := range r.tries {
		for _, run := range try.runs {
			if run.Answer != "" {
				words = append(words, fmt.Sprintf("; %s from %s after %q: %s", try.id, run.Target, run.LastEventID, run.Answer))
			}
		}
	}
	return strings.Join(words, "")
}

// countGenerated counts a drawn answer, and a stream with the first one. c.mu is held.
func (c *checker) countGenerated(r *request, run standin.Run) {
	if run.Answer == "" {
		return
	}
	c.counts["drawn answers"]++
	if run.AnswerFault != "" {
		c.counts["drawn answers, "+string(run.AnswerFault)]++
	}
	if stream := r.stream(); r.route.stream && !stream.drawn {
		stream.drawn = true
		c.counts[map[bool]string{true: "drawn streams, resumable", false: "drawn streams, not resumable"}[r.route.resumable]]++
	}
}
