package streams

import (
	"errors"
	"slices"
	"time"
)

// ErrForm: an event is of a form that whole streams of its service do not have.
var ErrForm = errors.New("event of unusual form")

const (
	// minRegular is the number of whole streams without a trait after which it counts as a deviation, and minRegularRetry the
	// same for a stream that another target may continue.
	minRegular      = 8
	minRegularRetry = 4
	// maxEventTypes bounds the types of events that are remembered of a stream.
	maxEventTypes = 8
)

// trait is something unusual that a stream has or not.
type trait int

const (
	// unidentified: some events have IDs, and another one of the same type, or of none, has data but no ID.
	unidentified trait = iota
	// dataless: an event of the same type as those with data, or of none, has an ID but no data.
	dataless
	// unnumbered: an ID is no number.
	unnumbered
	// unknownLines: there are lines that are neither a comment, a known field nor usual for the service.
	unknownLines
	// mixedLineEnds: some lines end with a carriage return alone, others with a line feed.
	mixedLineEnds
	traitCount
)

// Form is what is known of the form of the streams of one service at one software version: which traits whole streams
// have. It is not safe for concurrent use.
type Form struct {
	traits [traitCount]mode
	// lines decides in place of traits[unknownLines].
	lines lineNames
	// recurring tells which traits targets have again and again, and targets are those of the last streams.
	recurring [traitCount]recurrence
	targets   recentTargets
}

// observe records whether a stream has a trait.
func (f *Form) observe(t trait, has bool) {
	switch {
	case t == unknownLines:
		f.lines.count(!has)
	case has:
		f.traits[t].observe(1)
	default:
		f.traits[t].observe(0)
	}
}

// confirm records whether a second target had a trait of a deviation, too.
func (f *Form) confirm(t trait, d *Deviation, confirmed bool) {
	if t == unknownLines {
		f.lines.confirm(d.lines, confirmed)
		return
	}
	f.traits[t].confirm(confirmed)
}

// lacks reports whether the streams of the service usually do not have a trait; at least hits whole ones did not.
func (f *Form) lacks(t trait, hits int) bool {
	if t == unknownLines {
		return f.lines.areKnown(hits)
	}
	return f.traits[t].exceededBy(1, hits)
}

// recurs records that a target shows a trait that the service usually lacks. It reports whether most targets do, and second
// targets have not shown otherwise.
func (f *Form) recurs(t trait, s sighting) bool {
	return f.recurring[t].see(s, &f.targets) && f.traits[t].refuted < minRefuted
}

// Forms holds the form of each service and version. It is not safe for concurrent use.
type Forms map[Origin]*Form

// Of returns the form of a service and version. Beyond maxNumberings, it forgets another one.
func (f Forms) Of(origin Origin) *Form { return learnedOf(f, origin) }

// Event is what a stream is judged by.
type Event struct {
	// ID and Type are the values of its fields, "" if it has none.
	ID, Type string
	// HasData is set if it has data.
	HasData bool
	// UnknownLines holds the names of its lines that are neither a comment nor a known field.
	UnknownLines []string
	// MixedLineEnds is set if lines up to its end have ended with a carriage return alone, and others with a line feed.
	MixedLineEnds bool
	// DataBytes is the size of its data.
	DataBytes int
	// At is when its end came.
	At time.Time
}

// Deviation is a place of a stream where a target deviates from the form of its service.
type Deviation struct {
	// After is the ID of the last event before it that has one.
	After  string
	traits [traitCount]bool
	// lines are the names of its unusual lines.
	lines []string
}

// FormCheck checks that the events of a stream have the form of its service.
type FormCheck struct {
	form *Form
	// fromStart is set if the stream begins with the first event, and begun once there is one.
	fromStart, begun bool
	// last is the ID of the last event that has one.
	last string
	// identified and loose are the types of events with data that have an ID, and that have none.
	identified, loose []string
	// lines are the names of Event.UnknownLines up to now.
	lines []string
	// has are the traits that the stream has had.
	has [traitCount]bool
	// hits is the number of whole streams without a trait after which the trait is a deviation. mayRetry is set if another target may
	// continue the stream.
	hits     int
	mayRetry bool
	// target is a hash of the ID of the target.
	target uint32
	// suspected is where another target has deviated, with the traits that this one has neither confirmed nor not.
	suspected Deviation
	deviation *Deviation
}

// NewFormCheck returns the check of a stream that goes on after the event last, or begins if last is "". suspected is where another
// target has deviated; it may be nil. mayRetry is set if another target may continue the stream: less is then enough for a deviation,
// since that target shows whether it is one. target is a hash of the ID of the target.
func NewFormCheck(form *Form, last string, suspected *Deviation, mayRetry bool, target uint32) *FormCheck {
	form.targets.add(target)
	c := &FormCheck{form: form, fromStart: last == "", last: last, hits: minRegular, mayRetry: mayRetry, target: target}
	if suspected != nil {
		c.suspected = *suspected
	}
	if mayRetry {
		c.hits = minRegularRetry
	}
	return c
}

// Next checks the next event, or what is between two. The error is ErrForm. A trait that two targets have behind the same event
// passes, and one that most targets have again and again if no other target may continue the stream.
func (c *FormCheck) Next(e Event) error {
	before := c.last
	c.note(e)
	unusualLines := c.noteLines(e.UnknownLines)
	for t, has := range c.traitsOf(e, len(unusualLines) > 0) {
		if !has || c.has[t] {
			continue
		}
		c.has[t] = true
		if !c.mayHave(trait(t), before, e.At) {
			if c.deviation == nil {
				c.deviation = &Deviation{After: before, lines: unusualLines}
			}
			c.deviation.traits[t] = true
		}
		c.form.observe(trait(t), true)
	}
	if c.last != before {
		c.refuteSuspected()
	}
	if c.deviation != nil {
		return ErrForm
	}
	return nil
}

// note records the ID and the type of an event.
func (c *FormCheck) note(e Event) {
	c.begun = c.begun || e.HasData || e.ID != ""
	types := &c.loose
	if e.ID != "" {
		c.last = e.ID
		types = &c.identified
	}
	if e.HasData && len(*types) < maxEventTypes && !slices.Contains(*types, e.Type) {
		*types = append(*types, e.Type)
	}
}

// traitsOf returns the traits of the stream up to and with an event, which has unusual lines or not.
func (c *FormCheck) traitsOf(e Event, unusualLines bool) (has [traitCount]bool) {
	usual := func(eventType string) bool { return eventType == "" || slices.Contains(c.identified, eventType) }
	has[unidentified] = c.last != "" && slices.ContainsFunc(c.loose, usual)
	has[dataless] = e.ID != "" && !e.HasData && usual(e.Type)
	has[unnumbered] = e.ID != "" && !parseEventID(e.ID).isNumber
	has[unknownLines] = unusualLines
	has[mixedLineEnds] = e.MixedLineEnds
	return has
}

// mayHave reports whether a trait that shows behind the event with the ID after, at a time, is no deviation.
func (c *FormCheck) mayHave(t trait, after string, at time.Time) bool {
	if c.suspected.traits[t] && c.suspected.After == after {
		c.form.confirm(t, &c.suspected, true)
		c.suspected.traits[t] = false
		return true
	}
	if !c.form.lacks(t, c.hits) {
		return true
	}
	recurs := c.form.recurs(t, sighting{at: at, target: c.target, number: 1})
	return recurs && !c.mayRetry
}

// refuteSuspected records that this target has gone on without the deviation of another one.
func (c *FormCheck) refuteSuspected() {
	for t, suspected := range c.suspected.traits {
		if suspected {
			c.form.confirm(trait(t), &c.suspected, false)
		}
	}
	c.suspected = Deviation{}
}

// End records that the stream has ended as whole.
func (c *FormCheck) End() {
	c.refuteSuspected()
	if !c.fromStart || !c.begun {
		return
	}
	for t, has := range c.has {
		// Without IDs, a stream says nothing of them.
		aboutIDs := trait(t) <= unnumbered
		if !has && (c.last != "" || !aboutIDs) {
			c.form.observe(trait(t), false)
		}
	}
}

// Deviation returns where the stream deviates from the form of its service; nil if Next has not returned ErrForm.
func (c *FormCheck) Deviation() *Deviation { return c.deviation }
