package broker

import (
	"slices"

	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"
	"pgregory.net/rapid"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

const (
	poolName     = configtest.EnginePool
	homeRegion   = configtest.Region
	remoteRegion = "south"
)

// fakeLink records the batches that the broker sends.
type fakeLink struct {
	member   state.Member
	receiver Receiver
	sent     []*v1.EntryBatch
	closed   bool
}

func (l *fakeLink) Send(batch *v1.EntryBatch) { l.sent = append(l.sent, batch) }
func (l *fakeLink) Close()                    { l.closed = true }
func (l *fakeLink) SetWaiting(bool)           {}

// takeSent returns everything that was sent since the last call, merged into one batch.
func (l *fakeLink) takeSent() *v1.EntryBatch {
	all := &v1.EntryBatch{}
	for _, batch := range l.sent {
		proto.Merge(all, batch)
	}
	l.sent = nil
	return all
}

// fakeDialer records the links that it opened.
type fakeDialer struct{ links []*fakeLink }

func (d *fakeDialer) Open(member state.Member, receiver Receiver) Link {
	l := &fakeLink{member: member, receiver: receiver}
	d.links = append(d.links, l)
	return l
}

// last returns the last link to the named router, nil if there was none.
func (d *fakeDialer) last(name string) *fakeLink {
	for _, l := range slices.Backward(d.links) {
		if l.member.Name == name {
			return l
		}
	}
	return nil
}

// fixture is a broker without its goroutine. The test passes inputs to it directly.
type fixture struct {
	*Broker
	dialer *fakeDialer
	self   state.Member
}

func member(name, region string, incarnation uint64) state.Member {
	return state.Member{Name: name, Region: region, Incarnation: incarnation, Zone: configtest.Zone}
}

// newFixture returns the broker of router "self" in a fleet whose reachable routers are
// the members. "self" itself takes no scheduler role.
func newFixture(t rapid.TB, members ...state.Member) *fixture {
	t.Helper()
	self := member("self", homeRegion, 1)
	store := state.NewStore(self)
	store.SetConfig(configuration(t, 1))
	dialer := &fakeDialer{}
	f := &fixture{
		Broker: New(&tomb.Tomb{}, store, dialer, log.NewNopLogger()),
		dialer: dialer,
		self:   self,
	}
	f.setFleet(members...)
	return f
}

// configuration returns a valid configuration that divides the pool into shards.
func configuration(t rapid.TB, shards uint32) *config.Accepted {
	t.Helper()
	c := configtest.Valid()
	c.Pools[0].Shards = shards
	payload, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := config.Accept(1, payload)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

// setShards changes the number of shards of the pool and lets the broker reassign them.
func (f *fixture) setShards(t rapid.TB, shards uint32) {
	f.store.SetConfig(configuration(t, shards))
	f.reassign(time.Now())
	f.flush()
}

// setFleet changes the reachable routers and lets the broker reassign the shards.
func (f *fixture) setFleet(members ...state.Member) {
	f.store.SetFleet(&state.Fleet{Self: f.self, Reachable: members})
	f.reassign(time.Now())
	f.flush()
}

func (f *fixture) input(in any) {
	f.handle(in)
	f.flush()
}

// acquire sends a demand of workspace "small" from the home region.
func (f *fixture) acquire(wait time.Duration) *request {
	return f.acquireFor("small", wait)
}

func (f *fixture) acquireFor(workspace string, wait time.Duration) *request {
	r := &request{
		demand: Demand{
			Pool: poolName, Region: homeRegion, Workspace: config.IDOf(workspace), Deadline: time.Now().Add(wait),
		},
		homeRegion: homeRegion,
		reply:      make(chan reply, 2),
	}
	f.input(acquireInput{r})
	return r
}

// receive delivers a batch on the open link to the router.
func (f *fixture) receive(name string, batch *v1.SchedulerBatch) {
	l := f.links[name]
	f.input(receivedInput{l, batch})
}

func (f *fixture) grant(name string, seq uint64, target config.ID) {
	f.receive(name, &v1.SchedulerBatch{Grants: []*v1.Grant{{Seq: seq, Target: uint32(target)}}})
}

func (f *fixture) refuse(name string, refusal *v1.Refusal) {
	f.receive(name, &v1.SchedulerBatch{Refusals: []*v1.Refusal{refusal}})
}

// sentTo returns what was sent on the last link to the router since the last call.
func (f *fixture) sentTo(name string) *v1.EntryBatch { return f.dialer.last(name).takeSent() }

// answer returns the reply to a demand, or the zero reply if there is none yet.
func (r *request) answer() reply {
	select {
	case answer := <-r.reply:
		return answer
	default:
		return reply{}
	}
}

func (a reply) code() v1.Code {
	if a.err == nil {
		return v1.Code_CODE_UNSPECIFIED
	}
	return a.err.Code
}

func (a reply) target() config.ID {
	if a.grant == nil {
		return 0
	}
	return a.grant.Target
}

func seqs(demands []*v1.Demand) []uint64 {
	var list []uint64
	for _, d := range demands {
		list = append(list, d.Seq)
	}
	return list
}
