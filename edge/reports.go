package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/exchange"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// maxReportBytes is the size of a UDP datagram.
const maxReportBytes = 64 << 10

// namingReports is the number of reports of which one names other members.
const namingReports = 8

// reporter makes this router's reports.
type reporter struct {
	edge     *Edge
	sequence uint64
}

// sendReports tells the other routers of this one's loads.
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

// send sends one report to all and returns the time until the next.
func (r *reporter) send(now time.Time) time.Duration {
	e := r.edge
	e.mu.Lock()
	report := r.report(now)
	recipients := e.members.Recipients(now)
	interval := e.members.Interval(now)
	e.book.SetReportInterval(interval)
	lost := e.book.RemoveSilentRouters(now)
	e.mu.Unlock()
	for _, name := range lost {
		level.Warn(e.logger).Log("event", "peer_lost", "peer", name)
	}
	e.sendTo(report, recipients)
	return interval
}

func (r *reporter) report(now time.Time) *v1.LoadReport {
	e := r.edge
	r.sequence++
	report := e.plainReport()
	report.Sequence = r.sequence
	if r.sequence%namingReports == 0 {
		report.Members = e.members.SampleMembers(now, false)
	}
	report.TargetsRevision = e.newest.Load()
	if t := e.table.Load(); t != nil {
		report.ConfigurationVersion = t.Version
	}
	if !e.lastRead.IsZero() {
		report.StoreReadMs = uint32(max(now.Sub(e.lastRead).Milliseconds(), 1))
	}
	e.book.FillReport(now, report)
	e.suspects.report(report)
	return report
}

// sendTo sends a report. Those who were silent are asked for an answer.
func (e *Edge) sendTo(report *v1.LoadReport, recipients []exchange.Recipient) {
	usual, err := proto.Marshal(report)
	if err != nil {
		level.Error(e.logger).Log("event", "report_failed", "error", err)
		return
	}
	report.Answer = true
	asking, err := proto.Marshal(report)
	if err != nil {
		level.Error(e.logger).Log("event", "report_failed", "error", err)
		return
	}
	for _, to := range recipients {
		message := usual
		if to.Answer {
			message = asking
		}
		e.writeReport(message, to.Address)
	}
}

// writeReport sends a datagram. A failure is like a lost datagram: the next
// report tells the same.
func (e *Edge) writeReport(message []byte, to netip.AddrPort) {
	if _, err := e.reports.WriteToUDPAddrPort(message, to); err != nil {
		e.metrics.reports.WithLabelValues("unsent").Inc()
		level.Debug(e.logger).Log("event", "report_unsent", "to", to, "error", err)
		return
	}
	e.metrics.reports.WithLabelValues("sent").Inc()
}

// sendLeaving tells the others that this router has stopped, so that they do not
// wait for its reports.
func (e *Edge) sendLeaving() {
	e.mu.Lock()
	recipients := e.members.Recipients(time.Now())
	report := e.plainReport()
	e.mu.Unlock()
	report.Leaving = true
	e.sendTo(report, recipients)
}

// receiveReports takes in the reports of other routers.
func (e *Edge) receiveReports() error {
	buf := make([]byte, maxReportBytes)
	for {
		n, from, err := e.reports.ReadFromUDPAddrPort(buf)
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
		e.merge(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &report)
	}
}

func (e *Edge) merge(from netip.AddrPort, report *v1.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	joined := e.members.HandleReport(now, from, report)
	if report.Leaving {
		e.book.RemoveRouter(report.Router)
		level.Info(e.logger).Log("event", "peer_left", "peer", report.Router)
		return
	}
	e.book.MergeReport(now, report)
	e.suspects.merge(now, report)
	e.compareViews(report)
	if report.StoreReadMs > 0 {
		e.readAt(now.Add(-time.Duration(report.StoreReadMs) * time.Millisecond))
	}
	if report.Incarnation+uint64(elderMargin.Milliseconds()) < uint64(e.started.UnixMilli()) {
		e.elder.Store(true)
	}
	if joined {
		level.Info(e.logger).Log("event", "peer_found", "peer", report.Router, "incarnation", report.Incarnation)
	}
	if report.Answer {
		e.answerReport(now, from)
	}
}

// answerReport names the other routers to one that does not know them, and tells
// it what targets keep.
func (e *Edge) answerReport(now time.Time, to netip.AddrPort) {
	answer := e.plainReport()
	answer.Members = e.members.SampleMembers(now, true)
	answers := []*v1.LoadReport{answer}
	for _, parts := range e.book.RecentCachedParts(now) {
		more := e.plainReport()
		more.Parts = parts
		answers = append(answers, more)
	}
	for _, answer := range answers {
		message, err := proto.Marshal(answer)
		if err != nil {
			level.Error(e.logger).Log("event", "report_failed", "error", err)
			return
		}
		e.writeReport(message, to)
	}
}

// plainReport is a report without loads. Its sequence of 0 leaves them as they
// are.
func (e *Edge) plainReport() *v1.LoadReport {
	s := e.settings
	return &v1.LoadReport{Router: s.Name, Zone: s.Zone, Address: s.Peer, Incarnation: uint64(e.started.UnixMilli())}
}
