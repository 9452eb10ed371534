package fleet

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Member describes a router that the view knows.
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

	// list is the instance list in force, with revision zero before the first one.
	list    *v1.InstanceList
	listed  map[string]*v1.Instance
	history []ListSnapshot
	// unlisted holds the routers that are not in the list, by name.
	unlisted  map[string]*unlisted
	forgotten map[string]*forgotten
	// beat is the number of announcements that the router has made of itself while it was not in
	// the list. Receivers see from a higher beat that an announcement is new.
	beat               uint64
	lastAnnounced      time.Time
	lastForgottenProbe time.Time
	// leaving holds the highest leaving incarnation of each instance, by its name.
	leaving    map[string]leavingMark
	marksAdded uint64
	reports    map[string]*v1.SilenceReport
	peers      map[string]*peer

	config ConfigVersion
	log    changeLog
	rings  rings
	// down holds the members that are unreachable, as of the last Tick.
	down map[string]bool
	// probeInterval is the time between two contacts with a silent router, as of the last
	// DueContacts.
	probeInterval time.Duration
}

// leavingMark says that an incarnation of an instance, and all lower ones, are leaving.
type leavingMark struct {
	incarnation uint64
	// lastKnown is the last time at which the instance was in the list or a known router. It
	// starts as the time at which the mark was added.
	lastKnown time.Time
}

// ConfigVersion is the revision and the digest of the configuration that a router has in force.
type ConfigVersion struct {
	Revision uint64
	Digest   string
}

// New returns a view that knows only the router self. The incarnation of self must be higher
// than in all earlier starts of the instance.
func New(self *v1.Instance, opts Options) *View {
	v := &View{
		opts:      opts,
		self:      self,
		list:      &v1.InstanceList{},
		listed:    map[string]*v1.Instance{},
		unlisted:  map[string]*unlisted{},
		forgotten: map[string]*forgotten{},
		leaving:   map[string]leavingMark{},
		reports:   map[string]*v1.SilenceReport{},
		peers:     map[string]*peer{},
		down:      map[string]bool{},
	}
	v.log.init()
	v.refreshRings()
	return v
}

// Self returns the router that owns the view.
func (v *View) Self() Member {
	return memberOf(v.self)
}

// Stop marks the router itself as leaving, for the rest of its incarnation.
func (v *View) Stop(now time.Time) {
	v.stopping = true
	v.MarkLeaving(now, v.self.Name, v.self.Incarnation)
}

// Stopping reports whether Stop was called.
func (v *View) Stopping() bool {
	return v.stopping
}

// SetConfig sets the version of the configuration in force, which the router's messages carry.
// A change is sent to the neighbours.
func (v *View) SetConfig(version ConfigVersion) {
	if v.config == version {
		return
	}
	v.config = version
	v.log.add(change{kind: changeConfig}, "")
}

// Tick determines which routers are reachable, drops expired state and returns whether the set
// of reachable routers changed. It is to be called every few hundred milliseconds.
func (v *View) Tick(now time.Time) bool {
	before := v.reachableNames()
	v.announceSelf(now)
	v.expireUnlisted(now)
	v.dropStale(now)
	v.updateDown(now)
	v.publishReport(now)
	return !slices.Equal(before, v.reachableNames())
}

// Reachable returns the routers that may be given roles, ordered by name. These are the router
// itself and all that are neither silent nor leaving, as of the last Tick and the leaving marks
// learnt since. The router itself is not among them while it stops.
func (v *View) Reachable() []Member {
	return v.ReachableIn(func(string) bool { return true })
}

// ReachableIn returns the reachable routers of the availability zones for which in returns
// true.
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

// SyncPeers returns the routers that may be queried for the configuration and for other state,
// ordered by name: the reachable ones, and leaving ones that answered within SuspectAfter. A
// router in its planned stop is given no role, but it may be the only one that has the newest
// configuration. The router itself is included.
func (v *View) SyncPeers(now time.Time) []Member {
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

// Lookup returns the known router of that name, reachable or not.
func (v *View) Lookup(name string) (Member, bool) {
	instance := v.router(name)
	if instance == nil {
		return Member{}, false
	}
	return memberOf(instance), true
}

// Known returns all known routers, including leaving and silent ones, ordered by name.
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

// router returns the highest known incarnation of a router, nil if there is none or if the list
// has a target of that name.
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

// routerNames returns the names of all known routers, in order.
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

// refreshRings arranges the known routers that are not leaving in the rings.
func (v *View) refreshRings() {
	names := slices.DeleteFunc(v.routerNames(), func(name string) bool {
		return v.isLeaving(name, v.router(name).Incarnation)
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
