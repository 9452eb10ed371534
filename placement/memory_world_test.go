package placement_test

import (
	"slices"
	"time"

	"github.com/chiveseam/chiveseam/placement"
)

// engineMemory is the memory of a simulated engine. It holds parts, the least recently used first, and
// generated tokens of running requests. Parts without users are evicted.
type engineMemory struct {
	capacity  int
	generated float64
	parts     []*heldPart
}

type heldPart struct {
	placement.Part
	users int
}

// memoryJob is the state of a job at an engine with a memory: generated of output tokens are done.
type memoryJob struct {
	donor             *engine
	output            int
	generated         float64
	started, answered bool
}

// memoryCounts sums up what engines did after the time from: tokens of shared parts that were read again
// or moved from another engine, tokens that preempted requests read again, evicted shared parts,
// preemptions.
type memoryCounts struct {
	from                                               time.Time
	reread, moved, preemptedTokens, evicted, preempted int
	firstTokens                                        []time.Duration
}

// count adds to a counter from the time memoryCounts.from on.
func (w *world) count(counter *int, n int) {
	if !w.now.Before(w.memory.from) {
		*counter += n
	}
}

func (m *engineMemory) find(id uint64) *heldPart {
	if i := slices.IndexFunc(m.parts, func(p *heldPart) bool { return p.ID == id }); i >= 0 {
		return m.parts[i]
	}
	return nil
}

// makeRoom evicts parts until there is room for tokens, and reports whether there is.
func (w *world) makeRoom(m *engineMemory, tokens float64) bool {
	free := float64(m.capacity) - m.generated
	for _, p := range m.parts {
		free -= float64(p.Tokens)
	}
	m.parts = slices.DeleteFunc(m.parts, func(p *heldPart) bool {
		if p.users > 0 || free >= tokens {
			return false
		}
		free += float64(p.Tokens)
		if w.readParts[p.ID] {
			w.count(&w.memory.evicted, 1)
		}
		return true
	})
	return free >= tokens
}

// use adds n users to those parts of a job that are in memory, and returns the tokens of the others.
func (m *engineMemory) use(j *job, n int) (missing int) {
	for _, p := range j.parts {
		if held := m.find(p.ID); held != nil {
			held.users += n
		} else {
			missing += p.Tokens
		}
	}
	return missing
}

// start begins to process a job if there is memory for it. The parts after the cached ones are read,
// unless the donor holds them.
func (w *world) start(m *engineMemory, j *job) bool {
	if !w.makeRoom(m, float64(m.use(j, 1))+j.generated) {
		m.use(j, -1)
		return false
	}
	j.started, j.unread = true, j.generated
	m.generated += j.generated
	cached := true
	for i, p := range j.parts {
		held := m.find(p.ID)
		cached = cached && held != nil
		if !cached && j.donor != nil && j.donor.memory.find(p.ID) != nil {
			w.count(&w.memory.moved, p.Tokens)
		} else if !cached {
			j.unread += float64(p.Tokens)
			if w.readParts[p.ID] {
				w.count(&w.memory.reread, p.Tokens)
			}
			w.readParts[p.ID] = i < len(j.parts)-1
		}
		if held == nil {
			held = &heldPart{Part: p, users: 1}
		}
		m.parts = append(slices.DeleteFunc(m.parts, func(other *heldPart) bool { return other == held }), held)
	}
	return true
}

// stepMemory processes prompts for one tick, lets running requests generate tokens, half as many while
// prompts are read, ends complete answers, and preempts the newest requests if memory runs out.
func (w *world) stepMemory(e *engine) {
	m, whole := e.memory, e.speed*float64(tick/time.Millisecond)
	budget := whole
	for len(e.queue) > 0 && len(e.running) < e.slots && budget > 0 {
		j := e.queue[0]
		if !j.started && !w.start(m, j) {
			break
		}
		done := min(budget, j.unread)
		budget, j.unread = budget-done, j.unread-done
		if j.unread > 0 {
			break
		}
		e.queue, e.running = e.queue[1:], append(e.running, j)
		if !j.answered && !j.arrived.Before(w.memory.from) {
			w.memory.firstTokens = append(w.memory.firstTokens, w.now.Sub(j.arrived))
		}
		if !j.answered {
			w.firstToken(e, j)
			j.answered = true
		}
	}
	steps := (0.5 + 0.5*budget/whole) * tick.Seconds() / answerDuration.Seconds()
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		grown := min(steps*float64(j.output), float64(j.output)-j.generated)
		j.generated += grown
		m.generated += grown
		if j.generated < float64(j.output) {
			return false
		}
		m.generated -= j.generated
		m.use(j, -1)
		j.balancer.End(w.now, j.ticket, placement.Succeeded)
		return true
	})
	for !w.makeRoom(m, 0) && len(e.running) > 1 {
		last := len(e.running) - 1
		j := e.running[last]
		e.running, e.queue = e.running[:last], slices.Insert(e.queue, 0, j)
		j.started = false
		m.generated -= j.generated
		m.use(j, -1)
		w.count(&w.memory.preempted, 1)
		w.count(&w.memory.preemptedTokens, j.parts[len(j.parts)-1].Tokens+int(j.generated))
	}
}
