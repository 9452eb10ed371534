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

// errPeerSilent is the cause with which a stream ends on which nothing was received
// for too long.
var errPeerSilent = errors.New("peer is silent")

// Timing holds the intervals and timeouts of connections between routers.
type Timing struct {
	// HeartbeatInterval is the silence after which a heartbeat is sent on a
	// scheduling stream on which demands wait. Without waiting demands it is
	// idleSilenceFactor times longer.
	HeartbeatInterval time.Duration
	// SuspectAfter is the silence after which a scheduling stream on which demands
	// wait is closed. Without waiting demands it is idleSilenceFactor times longer.
	SuspectAfter time.Duration
	// CoalesceInterval is the least time between two batches on a scheduling
	// stream.
	CoalesceInterval time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
}

// Dialer opens scheduling streams. It implements broker.Dialer and is safe for
// concurrent use. Its fields must not change after the first Open.
type Dialer struct {
	Self state.Member
	// Tomb supervises the goroutines of the streams.
	Tomb *tomb.Tomb
	// Host runs the schedulers on this router.
	Host    *scheduling.Host
	Timing  Timing
	Traffic Traffic
}

// Open implements broker.Dialer. A link to this router itself needs no connection.
func (d *Dialer) Open(member state.Member, receiver broker.Receiver) broker.Link {
	if member.Name == d.Self.Name {
		return scheduling.OpenLocal(d.Host, d.Self, receiver)
	}
	ctx, cancel := context.WithCancelCause(d.Tomb.Context(context.Background()))
	l := &remoteLink{
		dialer: d,
		cancel: cancel,
		out:    newCoalescer(d.Timing.CoalesceInterval, func() *v1.EntryBatch { return &v1.EntryBatch{} }),
	}
	d.Tomb.Go(func() error {
		l.run(ctx, member, receiver)
		return nil
	})
	return l
}

// remoteLink is the client side of a scheduling stream: an entry router's link to a
// scheduler on another router. It implements broker.Link.
type remoteLink struct {
	dialer   *Dialer
	cancel   context.CancelCauseFunc
	out      *coalescer[*v1.EntryBatch]
	activity streamActivity
}

// SetWaiting implements broker.Link.
func (l *remoteLink) SetWaiting(waiting bool) { l.activity.setWaiting(waiting, time.Now()) }

// Send implements broker.Link.
func (l *remoteLink) Send(batch *v1.EntryBatch) { l.out.add(batch) }

// Close implements broker.Link.
func (l *remoteLink) Close() { l.cancel(nil) }

func (l *remoteLink) run(ctx context.Context, member state.Member, receiver broker.Receiver) {
	err := l.receiveBatches(ctx, member, receiver)
	l.cancel(err)
	receiver.Closed(err)
}

func (l *remoteLink) receiveBatches(ctx context.Context, member state.Member, receiver broker.Receiver) error {
	conn, err := dial(ctx, member.PeerAddress, l.dialer.Timing.DialTimeout, l.dialer.Traffic, kindControl)
	if err != nil {
		return fmt.Errorf("dial router %s: %w", member.Name, err)
	}
	defer conn.Close()
	stream, err := v1.NewDRPCSchedulingClient(conn).Connect(ctx)
	if err != nil {
		return fmt.Errorf("open a scheduling stream to router %s: %w", member.Name, err)
	}
	defer stream.Close()
	l.activity.received(time.Now())
	go l.sendBatches(ctx, stream)
	go l.monitorSilence(ctx, conn)
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		l.activity.received(time.Now())
		l.dialer.Traffic.AddMessage("scheduler_batch", Received, proto.Size(batch))
		receiver.Received(batch)
	}
}

func (l *remoteLink) sendBatches(ctx context.Context, stream v1.DRPCScheduling_ConnectClient) {
	err := l.out.run(ctx.Done(), func(batch *v1.EntryBatch) error {
		l.dialer.Traffic.AddMessage("entry_batch", Sent, proto.Size(batch))
		return stream.Send(batch)
	})
	if err != nil {
		l.cancel(err)
		stream.Close()
	}
}

// monitorSilence sends a heartbeat, which is an empty batch, on a silent stream, and
// closes the connection of a stream that stays silent. It returns when ctx ends.
func (l *remoteLink) monitorSilence(ctx context.Context, conn *drpcconn.Conn) {
	ticker := time.NewTicker(l.dialer.Timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if l.activity.silent(now, l.dialer.Timing.SuspectAfter) {
				l.cancel(errPeerSilent)
				conn.Close()
				return
			}
			if l.activity.silent(now, l.dialer.Timing.HeartbeatInterval) {
				l.out.add(&v1.EntryBatch{})
			}
		case <-ctx.Done():
			return
		}
	}
}

// silenceTimer calls a function if it is not reset for a time.
type silenceTimer struct {
	limit time.Duration
	timer *time.Timer
}

// newSilenceTimer starts a timer that calls onSilence in a goroutine of its own,
// limit after the start or the last reset.
func newSilenceTimer(limit time.Duration, onSilence func()) *silenceTimer {
	return &silenceTimer{limit: limit, timer: time.AfterFunc(limit, onSilence)}
}

func (t *silenceTimer) reset() { t.timer.Reset(t.limit) }

func (t *silenceTimer) stop() { t.timer.Stop() }

// Connect implements the Scheduling service: it serves the stream of one entry
// router until the stream or the session ends. A router without a configuration
// refuses the stream, so that the entry router sends its demands to another one.
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
	out := newCoalescer(s.opts.Timing.CoalesceInterval, func() *v1.SchedulerBatch { return &v1.SchedulerBatch{} })
	router := pool.Router{Name: hello.Router, Incarnation: hello.Incarnation}
	done := make(chan struct{})
	var once sync.Once
	closeDone := func() { once.Do(func() { close(done) }) }
	defer closeDone()
	session := s.opts.Host.Open(router, hello.Zone, out.add, closeDone)
	defer session.Close()
	return s.serveSession(stream, session, first, out, done, closeDone)
}

// ShareCounters implements the Scheduling service. It passes the counters of
// another region's schedulers to the schedulers on this router and returns the
// counters of these.
func (s *Server) ShareCounters(_ context.Context, in *v1.CountersShare) (*v1.CountersShare, error) {
	s.opts.Traffic.AddMessage("counters_share", Received, proto.Size(in))
	s.opts.Host.MergePeerCounters(in.Pools)
	out := s.opts.Host.CountersOf(in.Pools)
	s.opts.Traffic.AddMessage("counters_share", Sent, proto.Size(out))
	return out, nil
}

// Deal implements the Scheduling service. It passes the batch to the Dealer.
func (s *Server) Deal(ctx context.Context, in *v1.DealBatch) (*v1.DealBatch, error) {
	s.opts.Traffic.AddMessage("deal", Received, proto.Size(in))
	out, err := s.opts.Dealer.Deal(ctx, in)
	if err == nil {
		s.opts.Traffic.AddMessage("deal", Sent, proto.Size(out))
	}
	return out, err
}

// serveSession passes batches between the stream and the session in both directions
// until done is closed or the stream fails. closeDone closes done; it is also called
// if nothing is received for too long.
func (s *Server) serveSession(stream v1.DRPCScheduling_ConnectStream, session *scheduling.Session, first *v1.EntryBatch, out *coalescer[*v1.SchedulerBatch], done <-chan struct{}, closeDone func()) error {
	failed := make(chan error, 2)
	go func() {
		failed <- s.receiveBatches(stream, session, first, out, closeDone)
	}()
	go func() {
		failed <- out.run(done, func(batch *v1.SchedulerBatch) error {
			s.opts.Traffic.AddMessage("scheduler_batch", Sent, proto.Size(batch))
			return stream.Send(batch)
		})
	}()
	return <-failed
}

// receiveBatches passes batch and then the batches of the stream to the session,
// until the stream fails. It answers a heartbeat with a heartbeat. It calls onSilence
// if nothing is received for idleSilenceFactor times Timing.SuspectAfter.
func (s *Server) receiveBatches(stream v1.DRPCScheduling_ConnectStream, session *scheduling.Session, batch *v1.EntryBatch, out *coalescer[*v1.SchedulerBatch], onSilence func()) error {
	timer := newSilenceTimer(idleSilenceFactor*s.opts.Timing.SuspectAfter, onSilence)
	defer timer.stop()
	for {
		size := proto.Size(batch)
		s.opts.Traffic.AddMessage("entry_batch", Received, size)
		if size == 0 {
			// An empty batch is a heartbeat. The answer is a heartbeat too.
			out.add(&v1.SchedulerBatch{})
		} else {
			session.Receive(batch)
		}
		var err error
		batch, err = stream.Recv()
		if err != nil {
			return err
		}
		timer.reset()
	}
}
