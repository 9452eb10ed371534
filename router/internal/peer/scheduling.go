package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"storj.io/drpc/drpcconn"

	"github.com/chiveseam/chiveseam/pool"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/broker"
	"github.com/chiveseam/chiveseam/router/internal/scheduling"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// errPeerSilent ends a stream on which nothing arrived for too long.
var errPeerSilent = errors.New("peer is silent")

// Timing of the connections between routers.
type Timing struct {
	// Heartbeat is the time between heartbeats on a silent stream on which
	// demands wait.
	Heartbeat time.Duration
	// SuspectAfter is the silence after which such a stream is given up.
	SuspectAfter time.Duration
	// Coalesce is the least time between two writes on a stream.
	Coalesce time.Duration
	// Dial bounds the time to connect.
	Dial time.Duration
}

// Dialer opens scheduling streams. It implements broker.Dialer.
type Dialer struct {
	Self    state.Member
	Tomb    *tomb.Tomb
	Host    *scheduling.Host
	Timing  Timing
	Traffic Traffic
}

// Open implements broker.Dialer.
func (d *Dialer) Open(member state.Member, receiver broker.Receiver) broker.Link {
	if member.Name == d.Self.Name {
		return scheduling.OpenLocal(d.Host, d.Self, receiver)
	}
	ctx, cancel := context.WithCancelCause(d.Tomb.Context(context.Background()))
	l := &remoteLink{
		dialer: d,
		cancel: cancel,
		out:    newCoalescer(d.Timing.Coalesce, func() *v1.EntryBatch { return &v1.EntryBatch{} }),
	}
	d.Tomb.Go(func() error {
		l.run(ctx, member, receiver)
		return nil
	})
	return l
}

// remoteLink is the entry's side of a scheduling stream.
type remoteLink struct {
	dialer *Dialer
	cancel context.CancelCauseFunc
	out    *coalescer[*v1.EntryBatch]
	pulse  pulse
}

// SetWaiting implements broker.Link.
func (l *remoteLink) SetWaiting(waiting bool) { l.pulse.setWaiting(waiting, time.Now()) }

// Send implements broker.Link.
func (l *remoteLink) Send(batch *v1.EntryBatch) { l.out.add(batch) }

// Close implements broker.Link.
func (l *remoteLink) Close() { l.cancel(nil) }

func (l *remoteLink) run(ctx context.Context, member state.Member, receiver broker.Receiver) {
	err := l.serve(ctx, member, receiver)
	l.cancel(err)
	receiver.Closed(err)
}

func (l *remoteLink) serve(ctx context.Context, member state.Member, receiver broker.Receiver) error {
	conn, err := dial(ctx, member.PeerAddress, l.dialer.Timing.Dial, l.dialer.Traffic, kindControl)
	if err != nil {
		return fmt.Errorf("dial %s: %w", member.Name, err)
	}
	defer conn.Close()
	stream, err := v1.NewDRPCSchedulingClient(conn).Connect(ctx)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", member.Name, err)
	}
	defer stream.Close()
	l.pulse.heard(time.Now())
	go l.write(ctx, stream)
	go l.watch(ctx, conn)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		l.pulse.heard(time.Now())
		l.dialer.Traffic.Message("scheduler_batch", Received, proto.Size(batch))
		receiver.Received(batch)
	}
}

func (l *remoteLink) write(ctx context.Context, stream v1.DRPCScheduling_ConnectClient) {
	err := l.out.run(ctx.Done(), func(batch *v1.EntryBatch) error {
		l.dialer.Traffic.Message("entry_batch", Sent, proto.Size(batch))
		return stream.Send(batch)
	})
	if err != nil {
		l.cancel(err)
		stream.Close()
	}
}

// watch sends heartbeats on a silent stream and ends one that stays silent.
func (l *remoteLink) watch(ctx context.Context, conn *drpcconn.Conn) {
	ticker := time.NewTicker(l.dialer.Timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if l.pulse.quiet(now, l.dialer.Timing.SuspectAfter) {
				l.cancel(errPeerSilent)
				conn.Close()
				return
			}
			if l.pulse.quiet(now, l.dialer.Timing.Heartbeat) {
				l.out.add(&v1.EntryBatch{})
			}
		case <-ctx.Done():
			return
		}
	}
}

// silenceWatch calls a function once when nothing was heard for a while.
type silenceWatch struct {
	limit time.Duration
	timer *time.Timer
}

func newSilenceWatch(limit time.Duration, silent func()) *silenceWatch {
	return &silenceWatch{limit: limit, timer: time.AfterFunc(limit, silent)}
}

func (w *silenceWatch) heard() { w.timer.Reset(w.limit) }

func (w *silenceWatch) stop() { w.timer.Stop() }

// Connect implements the scheduler's side of the Scheduling service. A router that
// has no configuration yet refuses, so that the demands go to another one.
func (s *Server) Connect(stream v1.DRPCScheduling_ConnectStream) error {
	if !s.opts.Host.Configured() {
		return errors.New("no configuration is in force")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil || hello.Router == "" {
		return errors.New("the first batch has no hello")
	}
	out := newCoalescer(s.opts.Timing.Coalesce, func() *v1.SchedulerBatch { return &v1.SchedulerBatch{} })
	router := pool.Router{Name: hello.Router, Incarnation: hello.Incarnation}
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	defer end()
	session := s.opts.Host.Open(router, hello.Zone, out.add, end)
	defer session.Close()
	return s.serveSession(stream, session, first, out, done, end)
}

// ShareCounters implements the Scheduling service.
func (s *Server) ShareCounters(_ context.Context, in *v1.CountersShare) (*v1.CountersShare, error) {
	s.opts.Traffic.Message("counters_share", Received, proto.Size(in))
	s.opts.Host.PeerCounters(in.Pools)
	out := s.opts.Host.CountersOf(in.Pools)
	s.opts.Traffic.Message("counters_share", Sent, proto.Size(out))
	return out, nil
}

// Deal implements the Scheduling service.
func (s *Server) Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error) {
	s.opts.Traffic.Message("deal", Received, proto.Size(in))
	out, err := s.opts.Dealer.Deal(ctx, in)
	if err == nil {
		s.opts.Traffic.Message("deal", Sent, proto.Size(out))
	}
	return out, err
}

// serveSession passes batches both ways until done is closed, by end or the
// caller, or the peer is lost or silent.
func (s *Server) serveSession(stream v1.DRPCScheduling_ConnectStream, session *scheduling.Session, first *v1.EntryBatch, out *coalescer[*v1.SchedulerBatch], done <-chan struct{}, end func()) error {
	failed := make(chan error, 2)
	go func() {
		failed <- s.receiveBatches(stream, session, first, out, end)
	}()
	go func() {
		failed <- out.run(done, func(batch *v1.SchedulerBatch) error {
			s.opts.Traffic.Message("scheduler_batch", Sent, proto.Size(batch))
			return stream.Send(batch)
		})
	}()
	return <-failed
}

func (s *Server) receiveBatches(stream v1.DRPCScheduling_ConnectStream, session *scheduling.Session, batch *v1.EntryBatch, out *coalescer[*v1.SchedulerBatch], silent func()) error {
	watch := newSilenceWatch(idleFactor*s.opts.Timing.SuspectAfter, silent)
	defer watch.stop()
	for {
		size := proto.Size(batch)
		s.opts.Traffic.Message("entry_batch", Received, size)
		if size == 0 {
			// A heartbeat is answered by one.
			out.add(&v1.SchedulerBatch{})
		} else {
			session.Receive(batch)
		}
		var err error
		batch, err = stream.Recv()
		if err != nil {
			return err
		}
		watch.heard()
	}
}
