package fleet

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Member is a router as the view knows it.
type Member struct {
	Name         string
	Incarnation  uint64
	Zone         string
	PeerAddress  string
	EntryAddress string
	AdminAddress string
}

// View is one router's view of the fleet. It is not safe for concurrent use.
type View struct {
	opts     Options
	self     *v1.Instance
	stopping bool

	// list is the instance list in force; its revision never decreases.
	list    *v1.InstanceList
	listed  map[string]*v1.Instance
	history []ListView
	// unlisted holds routers outside the list, by name.
	unlisted  map[string]*unlisted
	forgotten map[string]*forgotten
	// beat counts the announcements of the router itself while unlisted.
	beat               uint64
	lastBeat           time.Time
	lastForgottenProbe time.Time
	// leaving holds the highest leaving incarnation of each instance.
	leaving    map[string]mark
	marksAdded uint64
	reports    map[string]*v1.SilenceReport
	peers      map[string]*peer

	config ConfigVersion
	log    changeLog
	rings  rings
	// down holds the members that are not reachable, as of the last Tick.
	down map[string]bool
	// probeInterval is the time between contacts with a silent router, as of
	// the last Next.
	probeInterval time.Duration
}

// mark is about an incarnation of an instance.
type mark struct {
	incarnation uint64
	// lastNeeded is the last time at which the instance was known.
	lastNeeded time.Time
}

// ConfigVersion is the revision and digest of a configuration in force.
type ConfigVersion struct {
	Revision uint64
	Digest   string
}

// New returns a view that knows only self. The incarnation of self has to be
// higher than that of each earlier start of the instance.
func New(self *v1.Instance, opts Options) *View {
	v := &View{
		opts:      opts,
		self:      self,
		list:      &v1.InstanceList{},
		listed:    map[string]*v1.Instance{},
		unlisted:  map[string]*unlisted{},
		forgotten: map[string]*forgotten{},
		leaving:   map[string]mark{},
		reports:   map[string]*v1.SilenceReport{},
		peers:     map[string]*peer{},
		down:      map[string]bool{},
	}
	v.log.init()
	v.refreshRings()
	return v
}

// Self returns the router that the view belongs to.
func (v *View) Self() Member {
	return memberOf(v.self)
}

// Stop marks the router itself as leaving, for the rest of its incarnation.
func (v *View) Stop(now time.Time) {
	v.stopping = true
	v.MarkLeaving(now, v.self.Name, v.self.Incarnation)
}

// Stopping returns whether Stop was called.
func (v *View) Stopping() bool {
	return v.stopping
}

// SetConfig sets the configuration in force that messages carry. A change is
// pushed to the neighbours.
func (v *View) SetConfig(version ConfigVersion) {
	if v.config == version {
		return
	}
	v.config = version
	v.log.add(change{kind: changeConfig}, "")
}

// Tick evaluates who is reachable, drops what is no longer needed and returns
// whether the set of reachable routers changed. It is to be called every few
// hundred milliseconds.
func (v *View) Tick(now time.Time) bool {
	before := v.reachableNames()
	v.announceSelf(now)
	v.expireUnlisted(now)
	v.forget(now)
	v.evaluate(now)
	v.report(now)
	return !slices.Equal(before, v.reachableNames())
}

// Reachable returns the routers that may hold roles, ordered by name: the
// router itself and all that are neither silent nor leaving, as of the last
// Tick and the marks learnt since. It leaves itself out while it stops.
func (v *View) Reachable() []Member {
	return v.ReachableIn(func(string) bool { return true })
}

// ReachableIn returns the reachable routers of the zones for which in is true.
func (v *View) ReachableIn(in func(zone string) bool) []Member {
	var members []Member
	for _, name := range v.reachableNames() {
		instance := v.router(name)
		if in(instance.Zone) {
			members = append(members, memberOf(instance))
		}
	}
	return members
}

// Sources returns the routers that may be asked for what they know, ordered by
// name: the reachable ones, and those that leave but have answered within
// SuspectAfter. A router in its planned stop takes no role, yet it may be the
// only one that has the newest configuration.
func (v *View) Sources(now time.Time) []Member {
	reachable := map[string]bool{}
	for _, name := range v.reachableNames() {
		reachable[name] = true
	}
	var members []Member
	for _, name := range v.routerNames() {
		p := v.peers[name]
		if reachable[name] || p != nil && p.answered(now, v.opts.SuspectAfter) {
			members = append(members, memberOf(v.router(name)))
		}
	}
	return members
}

// Lookup returns a known router, reachable or not.
func (v *View) Lookup(name string) (Member, bool) {
	instance := v.router(name)
	if instance == nil {
		return Member{}, false
	}
	return memberOf(instance), true
}

// Known returns all known routers, leaving and silent ones too, by name.
func (v *View) Known() []Member {
	var members []Member
	for _, name := range v.routerNames() {
		members = append(members, memberOf(v.router(name)))
	}
	return members
}

func (v *View) reachableNames() []string {
	return slices.DeleteFunc(slices.Clone(v.rings.names), func(name string) bool {
		return v.down[name]
	})
}

// router returns the highest known incarnation of a router, or nil.
func (v *View) router(name string) *v1.Instance {
	if name == v.self.Name {
		return v.self
	}
	listed := v.listed[name]
	if listed != nil && listed.IsTarget {
		return nil
	}
	u := v.unlisted[name]
	if u != nil && (listed == nil || u.instance.Incarnation > listed.Incarnation) {
		return u.instance
	}
	return listed
}

// routerNames returns the names of all known routers in order.
func (v *View) routerNames() []string {
	names := map[string]bool{v.self.Name: true}
	for name, instance := range v.listed {
		if !instance.IsTarget {
			names[name] = true
		}
	}
	for name := range v.unlisted {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// refreshRings orders the known routers that are not leaving.
func (v *View) refreshRings() {
	names := slices.DeleteFunc(v.routerNames(), func(name string) bool {
		return v.leavingAt(name, v.router(name).Incarnation)
	})
	v.rings.set(names, v.opts.Rings)
}

func memberOf(i *v1.Instance) Member {
	return Member{
		Name:         i.Name,
		Incarnation:  i.Incarnation,
		Zone:         i.Zone,
		PeerAddress:  i.PeerAddress,
		EntryAddress: i.EntryAddress,
		AdminAddress: i.AdminAddress,
	}
}
