package edge

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/exchange"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// maxReportBytes is the size of the receive buffer: no UDP datagram is larger.
const maxReportBytes = 64 << 10

// memberListPeriod is the number of reports of which one lists other routers.
const memberListPeriod = 8

// reporter creates the periodic load reports of this router. Only sendReports uses it.
type reporter struct {
	edge *Edge
	// signatures holds the prompts that were refused at the last report.
	signatures [][]uint64
}

// sendReports periodically sends this router's load report to the other routers until ctx ends.
func (e *Edge) sendReports(ctx context.Context) error {
	r := &reporter{edge: e}
	for {
		interval := r.send(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// send sends one report to all routers and returns the time until the next one. It also removes the
// loads of routers that have been silent for peerTimeout.
func (r *reporter) send(now time.Time) time.Duration {
	e := r.edge
	e.mu.Lock()
	report := r.report(now)
	recipients := e.members.Recipients(now)
	interval := e.members.Interval(now)
	e.balancer.SetReportInterval(interval)
	e.metrics.coldTargets.Set(float64(e.balancer.ColdTargets(now)))
	lostPeers := e.balancer.RemoveSilentRouters(now)
	signatures := e.poison.Signatures()
	e.mu.Unlock()
	r.logSignatures(signatures)
	for _, name := range lostPeers {
		level.Warn(e.logger).Log("event", "peer_lost", "peer", name)
	}
	e.sendReport(report, recipients)
	return interval
}

// report creates the next report. The caller holds e.mu.
func (r *reporter) report(now time.Time) *v1.LoadReport {
	e := r.edge
	e.logInterruption(now)
	e.reportSequence++
	report := e.baseReport()
	report.Sequence = e.reportSequence
	if report.Sequence%memberListPeriod == 0 {
		report.Members = e.members.SampleMembers(now, false)
	}
	revision := e.targetsRevision.load()
	report.TargetsRevision, report.StoreEpoch = revision.Number, revision.Epoch
	if t := e.table.Load(); t != nil {
		report.ConfigurationVersion = t.Version
	}
	if !e.lastStoreRead.IsZero() {
		report.StoreReadMs = uint32(max(now.Sub(e.lastStoreRead).Milliseconds(), 1))
	}
	e.balancer.FillReport(now, report)
	e.poison.FillReport(now, report)
	e.origins.FillReport(now, report)
	e.numberings.fillReport(report)
	e.evacuations.FillReport(report)
	e.fillStoreReading(now, report)
	return report
}

// interruptionTime is the time without a report of this router after which it is held to have been stopped or to have
// got no processor. It is longer than the interval between two reports.
const interruptionTime = time.Second

// logInterruption logs that this router was stopped or got no processor until now. The caller holds e.mu.
func (e *Edge) logInterruption(now time.Time) {
	if away := now.Sub(e.reportedAt); !e.reportedAt.IsZero() && away > interruptionTime {
		level.Warn(e.logger).Log("event", "interrupted", "for_ms", away.Milliseconds())
	}
	e.reportedAt = now
}

// datagramConn is the socket for reports.
type datagramConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// sendReport sends a report to the recipients. Those marked with Answer are asked to answer it.
func (e *Edge) sendReport(report *v1.LoadReport, recipients []exchange.Recipient) {
	plainMessage, err := proto.Marshal(report)
	if err != nil {
		level.Error(e.logger).Log("event", "report_failed", "error", err)
		return
	}
	report.Answer = true
	askingMessage, err := proto.Marshal(report)
	if err != nil {
		level.Error(e.logger).Log("event", "report_failed", "error", err)
		return
	}
	forwardMessage := append(slices.Clip(plainMessage), forwardField...)
	e.countReports(len(plainMessage), len(recipients))
	for _, to := range recipients {
		message := plainMessage
		switch {
		case to.Answer:
			message = askingMessage
		case to.Forward:
			message = forwardMessage
		}
		e.writeReport(message, to.Address)
	}
}

// forwardField is the encoding of LoadReport.forward. It is appended to an encoded report and cut off
// again by the router that forwards it, so that the report need not be encoded once more.
var forwardField = protowire.AppendVarint(protowire.AppendTag(nil, forwardFieldNumber, protowire.VarintType), 1)

// forwardFieldNumber is the number of LoadReport.forward in the schema.
const forwardFieldNumber = 29

// forwardReport passes an encoded report of another router on to the routers of this zone.
func (e *Edge) forwardReport(message []byte, origin netip.AddrPort) {
	e.mu.Lock()
	recipients := e.members.ForwardTo(time.Now(), origin)
	e.mu.Unlock()
	message = bytes.TrimSuffix(message, forwardField)
	e.countReports(len(message), len(recipients))
	for _, to := range recipients {
		e.writeReport(message, to)
	}
}

// writeReport sends one datagram. An error is only counted and logged. It needs no action, like the
// loss of a datagram, since later reports repeat the state.
func (e *Edge) writeReport(message []byte, to netip.AddrPort) {
	if _, err := e.reportConn.WriteToUDPAddrPort(message, to); err != nil {
		e.metrics.reports.WithLabelValues("unsent").Inc()
		level.Debug(e.logger).Log("event", "report_unsent", "to", to, "error", err)
		return
	}
	e.metrics.reports.WithLabelValues("sent").Inc()
}

// sendLeaving tells the other routers that this one has stopped, so that they drop its loads at
// once rather than after peerTimeout, and what it has not told them yet of the origins of streams.
func (e *Edge) sendLeaving() {
	e.mu.Lock()
	recipients := e.members.Recipients(time.Now())
	report := e.baseReport()
	e.origins.FillReport(time.Now(), report)
	e.mu.Unlock()
	report.Leaving = true
	e.sendReport(report, recipients)
}

// receiveReports applies the reports of other routers until the socket is closed.
func (e *Edge) receiveReports() error {
	buf := make([]byte, maxReportBytes)
	for {
		n, from, err := e.reportConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			level.Debug(e.logger).Log("event", "report_unreadable", "error", err)
			continue
		}
		var report v1.LoadReport
		if err := proto.Unmarshal(buf[:n], &report); err != nil {
			e.metrics.reports.WithLabelValues("unreadable").Inc()
			level.Warn(e.logger).Log("event", "report_unreadable", "from", from, "error", err)
			continue
		}
		e.metrics.reports.WithLabelValues("received").Inc()
		origin := reportOrigin(&report, from)
		if report.Forward {
			e.forwardReport(buf[:n], origin)
		}
		e.mergeReport(origin, &report, n)
	}
}

// reportOrigin returns the address of the router that created a report, which may have come through
// another one.
func reportOrigin(report *v1.LoadReport, from netip.AddrPort) netip.AddrPort {
	if origin, err := netip.ParseAddrPort(report.Address); err == nil {
		return origin
	}
	return netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
}

// mergeReport applies one report of a number of bytes that came from the address from.
func (e *Edge) mergeReport(from netip.AddrPort, report *v1.LoadReport, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.link.AddRequest(now, "", float64(bytes+packetBytes))
	if !e.targetsRead.Load() {
		// What an answer says of targets has no effect yet: it must come again.
		report.AnswerPart = nil
	}
	heard := e.members.HandleReport(now, from, report)
	e.mergeStoreReading(now, report)
	if report.Leaving {
		e.balancer.RemoveRouter(report.Router)
		e.origins.MergeReport(now, report)
		level.Info(e.logger).Log("event", "peer_left", "peer", report.Router)
		return
	}
	e.balancer.MergeReport(now, report)
	e.poison.MergeReport(now, report)
	e.origins.MergeReport(now, report)
	e.numberings.mergeReport(report)
	e.mergeEvacuations(now, report)
	e.wakeOriginWaiters(report)
	e.noteTakeUps(now, from, report)
	if answer := e.answerOrigins(report); answer != nil {
		e.send(answer, from)
	}
	e.compareWithPeer(report)
	if report.StoreReadMs > 0 {
		e.noteStoreRead(now.Add(-time.Duration(report.StoreReadMs) * time.Millisecond))
	}
	if report.Incarnation+uint64(olderPeerMargin.Milliseconds()) < uint64(e.started.UnixMilli()) {
		e.olderPeer.Store(true)
	}
	e.logHeard(report, heard)
	if report.Answer {
		e.answerReport(now, from)
	}
}

// logHeard logs what a report has changed in this router's knowledge of its sender. The caller holds e.mu.
func (e *Edge) logHeard(report *v1.LoadReport, heard exchange.Heard) {
	if heard.Joined {
		level.Info(e.logger).Log("event", "peer_found", "peer", report.Router, "incarnation", report.Incarnation)
	}
	if heard.Missed {
		level.Info(e.logger).Log("event", "peer_reports_missed", "peer", report.Router, "sequence", report.Sequence)
	}
	if heard.CaughtUp {
		level.Info(e.logger).Log("event", "peer_caught_up", "peer", report.Router, "informed", report.Informed,
			"sequence", report.AnswerPart.Sequence, "parts", report.AnswerPart.Count)
	}
}

// answerReport sends a router that asked for it the addresses of the other routers, the targets that
// leave, are cold or have rate limits, the evacuations, the versions of services and how their event IDs rise, the prompt parts that
// the targets have in their KV caches, and the requests that crash targets, with the parts of their prompts that
// targets can answer. The caller holds e.mu.
func (e *Edge) answerReport(now time.Time, to netip.AddrPort) {
	answer := e.baseReport()
	answer.Members = e.members.SampleMembers(now, true)
	answer.LeavingTargets = e.balancer.LeavingTargets()
	answer.RateLimits = e.balancer.RateLimits(now)
	answer.Evacuations = e.evacuations.Entries()
	answer.ColdTargets = e.balancer.ColdTargetMessages(now)
	e.origins.AddVersions(now, answer)
	answers := []*v1.LoadReport{answer}
	for _, parts := range e.balancer.RecentCachedParts(now) {
		partsReport := e.baseReport()
		partsReport.Parts = parts
		answers = append(answers, partsReport)
	}
	for _, numberings := range e.numberings.messages() {
		numberingReport := e.baseReport()
		numberingReport.Numberings = numberings
		answers = append(answers, numberingReport)
	}
	for _, lost := range e.poison.Losses(now) {
		lossReport := e.baseReport()
		lossReport.Lost = lost
		answers = append(answers, lossReport)
	}
	for _, proven := range e.poison.Proofs(now) {
		proofReport := e.baseReport()
		proofReport.Proven = proven
		answers = append(answers, proofReport)
	}
	e.answerCount++
	for i, part := range answers {
		part.AnswerPart = &v1.AnswerPart{Answer: e.answerCount, Index: uint32(i), Count: uint32(len(answers)), Sequence: e.reportSequence}
		e.send(part, to)
	}
}

// send sends a report to one router.
func (e *Edge) send(report *v1.LoadReport, to netip.AddrPort) {
	message, err := proto.Marshal(report)
	if err != nil {
		level.Error(e.logger).Log("event", "report_failed", "error", err)
		return
	}
	e.writeReport(message, to)
}

// baseReport returns a report that only identifies this router. Its sequence number is 0, so that
// receivers keep the loads that they know. The caller holds e.mu.
func (e *Edge) baseReport() *v1.LoadReport {
	s := e.settings
	return &v1.LoadReport{
		Router: s.Name, Zone: s.Zone, Address: s.Peer, Incarnation: uint64(e.started.UnixMilli()), Forwards: true,
		Informed: e.members.Informed(time.Now()),
	}
}
