package edge

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/storereaders"
)

const (
	// readersPeriod is the time between two decisions on who watches the registrations.
	readersPeriod = 100 * time.Millisecond
	// readerWatchWait is the longest time that a watch for other routers waits for a change. It is
	// shorter than watchWait, since the others depend on a reader that notices when it is cut off.
	readerWatchWait = 5 * time.Second
	// maxReaderPause replaces maxBatchPause for a watch for other routers, which may learn of a change
	// later by the time in which they replace a reader that was killed.
	maxReaderPause = 400 * time.Millisecond
	// returnReportTime is the time for which reports say that the store was away. It is longer than the
	// grace time of registrations that have lapsed.
	returnReportTime = 10 * time.Second
)

// targetReaders is this router's part in the reading of the registrations of its zone. The Edge's mu
// guards it.
type targetReaders struct {
	zone    storereaders.Zone
	history storereaders.History
	// follows is set while other routers watch for this one, passOn while this one watches for others.
	// shared is set if the zone shares the reading.
	follows, passOn, shared bool
	// outageEndedAt is when this router last noticed the end of an outage of the store.
	outageEndedAt time.Time
	// reported is set after the first decision has been logged.
	reported bool
	// changed is closed when follows changes; nil if nobody waits for it.
	changed chan struct{}
}

// chooseReaders decides repeatedly whether this router watches the registrations by itself, until ctx ends.
func (e *Edge) chooseReaders(ctx context.Context) error {
	for ctx.Err() == nil {
		e.chooseReader(time.Now())
		sleep(ctx, readersPeriod)
	}
	return nil
}

// chooseReader decides whether this router watches the registrations by itself.
func (e *Edge) chooseReader(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := &e.readers
	d := r.zone.Decide(now, e.readersView(now))
	changed := d.Watch == r.follows
	if changed || d.PassOn != r.passOn || !r.reported {
		level.Info(e.logger).Log("event", "registrations_reader", "watches", d.Watch, "passes_on", d.PassOn, "reason", d.Reason)
	}
	r.reported, r.passOn, r.shared, r.follows = true, d.PassOn, d.Shared, !d.Watch
	if changed && r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	watches := 0.0
	if d.Watch {
		watches = 1
	}
	e.metrics.watchesTargets.Set(watches)
}

// readersView returns what the choice of the readers depends on. The caller holds e.mu.
func (e *Edge) readersView(now time.Time) storereaders.View {
	newest := e.targetsRevision.load()
	if peer := e.peerTargetsRevision.load(); peer.Compare(newest) > 0 {
		newest = peer
	}
	return storereaders.View{
		Self: e.settings.Name, Able: e.outage.ongoing() == nil && e.targetsRead.Load(), Interval: e.members.Interval(now),
		Covered: e.readers.history.Covered(), Newest: newest,
	}
}

// followsReaders returns whether other routers watch the registrations for this one, and a channel that is
// closed when that changes.
func (e *Edge) followsReaders() (bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.readers.changed == nil {
		e.readers.changed = make(chan struct{})
	}
	return e.readers.follows, e.readers.changed
}

// watchTargets keeps the targets up to date until ctx ends, while no other router does so for this one.
func (e *Edge) watchTargets(ctx context.Context) error {
	for ctx.Err() == nil {
		follows, changed := e.followsReaders()
		if follows {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := e.watchTargetsUntil(ctx, changed); err != nil {
			return err
		}
	}
	return nil
}

// watchTargetsUntil watches the registrations until ctx ends or the channel is closed.
func (e *Edge) watchTargetsUntil(ctx context.Context, over <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-over:
			cancel()
		}
	}()
	return follow(ctx, e, feed[[]TargetChange]{
		name: "targets", read: e.readRegistrations, watch: e.watchRegistrations, pausedUntil: &e.targetsPausedUntil, known: e.knownRegistrations,
		maxPause: e.maxTargetsPause,
		apply: func(changes []TargetChange, revision Revision, complete bool, away time.Duration) bool {
			e.registrationsRead(changes, revision, complete, away)
			return len(changes) > 0
		},
	})
}

// knownRegistrations returns the revision up to which this router knows all changes of registrations.
func (e *Edge) knownRegistrations() Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers.history.Covered()
}

// watchRegistrations waits for changes of registrations.
func (e *Edge) watchRegistrations(ctx context.Context, after Revision, wait time.Duration) ([]TargetChange, Revision, error) {
	e.mu.Lock()
	if e.readers.passOn {
		wait = readerWatchWait
	}
	e.mu.Unlock()
	return e.watchRegistrationChanges(ctx, after, wait)
}

// maxTargetsPause returns the longest pause of this router's watch of the registrations.
func (e *Edge) maxTargetsPause() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.readers.passOn {
		return maxReaderPause
	}
	return maxBatchPause
}

// registrationsRead applies an answer of the store, which is complete or that of a watch, and passes
// changes on to the zone if this router does so.
func (e *Edge) registrationsRead(changes []TargetChange, revision Revision, complete bool, away time.Duration) {
	now := time.Now()
	e.mu.Lock()
	r := &e.readers
	var batch storereaders.Batch
	current := true
	if complete {
		batch, current = r.history.Complete(changes, revision)
	} else {
		batch = r.history.Watched(changes, revision)
	}
	if r.shared {
		e.adoptStoreReturn(now)
		if !complete {
			// Changes that came from a later complete read are not applied again.
			changes = batch.Changes
		}
	}
	if !current {
		changes, complete = nil, false
	}
	e.applyRegistrations(now, changes, complete, away)
	if !r.passOn || batch.Empty() {
		e.mu.Unlock()
		return
	}
	recipients := e.members.ForwardTo(now, netip.AddrPort{})
	report := e.baseReport()
	report.StoreReading = e.storeReading(now)
	known := e.targetsRevision.load()
	report.StoreEpoch, report.TargetsRevision = known.Epoch, known.Number
	e.mu.Unlock()
	e.sendTargetChanges(report, batch, recipients)
}

// sendTargetChanges sends a batch of changes to routers of the zone, in copies of a report.
func (e *Edge) sendTargetChanges(report *v1.LoadReport, batch storereaders.Batch, recipients []netip.AddrPort) {
	for _, changes := range batch.Messages() {
		report.TargetChanges = changes
		message, err := proto.Marshal(report)
		if err != nil {
			level.Error(e.logger).Log("event", "report_failed", "error", err)
			return
		}
		e.countReports(len(message), len(recipients))
		for _, to := range recipients {
			e.writeReport(message, to)
		}
	}
}

// storeReading returns what reports say of this router's reading. The caller holds e.mu.
func (e *Edge) storeReading(now time.Time) *v1.StoreReading {
	r := &e.readers
	since := r.history.Since()
	reading := &v1.StoreReading{
		Able: e.outage.ongoing() == nil && e.targetsRead.Load(), PassesOn: r.passOn, Epoch: since.Epoch, Since: since.Number,
	}
	if away := now.Sub(r.outageEndedAt); away < returnReportTime {
		reading.ReturnedMs = uint32(max(away.Milliseconds(), 1))
	}
	if left := time.Until(time.Unix(0, e.targetsPausedUntil.Load())); left > 0 && r.passOn {
		reading.PausedMs = uint32(left.Milliseconds())
	}
	return reading
}

// fillStoreReading adds to a report how this router learns of the registrations, if its zone has enough
// routers to share the reading. The caller holds e.mu.
func (e *Edge) fillStoreReading(now time.Time, report *v1.LoadReport) {
	if !e.readers.reported || len(e.members.ForwardTo(now, netip.AddrPort{}))+1 < storereaders.MinRouters {
		return
	}
	report.StoreReading = e.storeReading(now)
	report.StoreReading.Removed = e.readers.history.ReportRemoved()
}

// mergeStoreReading applies what another router's report says of the registrations and of who reads them.
// The caller holds e.mu.
func (e *Edge) mergeStoreReading(now time.Time, report *v1.LoadReport) {
	r := &e.readers
	if report.Zone == e.settings.Zone {
		r.zone.HandleReport(now, report)
	}
	if !r.shared {
		return
	}
	removals := report.StoreReading.GetRemoved()
	if report.StoreReading.GetReturnedMs() > 0 || e.outage.ongoing() != nil {
		// They may have lapsed during an outage, of which this router knows too little.
		removals = nil
	}
	for _, removed := range removals {
		at := Revision{Epoch: removed.Epoch, Number: removed.Revision}
		if r.history.RemovedLater(removed.Id, at) {
			e.adoptStoreReturn(now)
			e.applyTargetUpdates(e.directory.remove(now, removed.Id))
		}
	}
	if !r.follows || report.Zone != e.settings.Zone {
		return
	}
	if report.StoreReading.GetPassesOn() {
		e.followPause(now, report)
	}
	if report.TargetChanges == nil {
		return
	}
	batch := storereaders.BatchOf(report.TargetChanges)
	e.seeVersions(batch.Changes)
	if batch.Until == batch.To {
		e.origins.ReadChanges(Revision{Epoch: batch.Epoch, Number: batch.From}, Revision{Epoch: batch.Epoch, Number: batch.To})
	}
	if changes := r.history.Received(batch); len(changes) > 0 {
		e.adoptStoreReturn(now)
		e.applyRegistrations(now, changes, false, 0)
	}
}

// followPause takes over the pause of a reader's watch, in which no changes can be expected from it. A
// change that the reader has seen already was lost on its way, and is not waited for. The caller holds e.mu.
func (e *Edge) followPause(now time.Time, report *v1.LoadReport) {
	left := min(time.Duration(report.StoreReading.PausedMs)*time.Millisecond, maxBatchPause)
	seen := Revision{Epoch: report.StoreEpoch, Number: report.TargetsRevision}
	switch {
	case seen.Compare(e.targetsRevision.load()) > 0:
		e.targetsPausedUntil.Store(0)
	case left > 0:
		e.targetsPausedUntil.Store(now.Add(left).UnixNano())
	}
}

// targetsBehindNow returns a function that reports whether this router is behind what other routers have
// seen by now, if its zone shares the reading. Otherwise that is targetsBehind, which under constant changes
// is always true.
func (e *Edge) targetsBehindNow() func() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.readers.shared {
		return e.targetsBehind
	}
	peer := e.peerTargetsRevision.load()
	return func() bool { return e.targetsBehindOf(peer) }
}

// adoptStoreReturn notes the end of an outage of the store that all readers of the zone state, if this
// router follows them. The caller holds e.mu.
func (e *Edge) adoptStoreReturn(now time.Time) {
	if !e.readers.follows {
		return
	}
	if at, ok := e.readers.zone.StoreReturned(now, e.readersView(now)); ok && at.After(e.directory.storeReturnedAt) {
		e.directory.storeReturned(at)
	}
}

// noteStoreReturn records the end of an outage that the watch of the configuration has noticed. A router
// that does not watch the registrations may notice it there only.
func (e *Edge) noteStoreReturn(away time.Duration) {
	if away < minOutage {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.readers.shared {
		e.storeReturned(time.Now())
	}
}

// storeReturned records the end of an outage of the store. The caller holds e.mu.
func (e *Edge) storeReturned(now time.Time) {
	e.directory.storeReturned(now)
	e.readers.outageEndedAt = now
}

// lapsedBefore returns the time before which the grace time of a missing registration must have ended at
// now. A registration that was made again at the end of its grace time reaches this router up to
// maxBatchPause later. The caller holds e.mu.
func (e *Edge) lapsedBefore(now time.Time) time.Time {
	if e.readers.shared && e.directory.storeReturnedAt.After(e.directory.restoredAt) {
		return now.Add(-maxBatchPause)
	}
	return now
}
