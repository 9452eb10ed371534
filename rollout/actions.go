package rollout

import "github.com/chiveseam/chiveseam/config"

// Action is what a Tracker wants done: Ask, Fetch, Apply, Reject, Conflict or
// Ready.
type Action interface{ action() }

// Ask is to exchange state with a peer, to learn its version.
type Ask struct{ Peer string }

// Fetch is to fetch the configuration of a peer. It ends with an Offer whose
// Source is the peer, or with FetchFailed.
type Fetch struct {
	Peer        string
	MinRevision uint64
}

// Apply puts a configuration into force and is to be announced to the peers.
type Apply struct {
	Version       Version
	Configuration *config.Accepted
}

// Reject reports a version that was not accepted. Each is reported once.
type Reject struct {
	Version Version
	Source  string
	Err     error
}

// Conflict reports that one revision was seen with two payloads. Kept is in
// force here. Each pair is reported once.
type Conflict struct {
	Kept, Other Version
	Source      string
}

// Ready tells that the router may serve.
type Ready struct{}

func (Ask) action()      {}
func (Fetch) action()    {}
func (Apply) action()    {}
func (Reject) action()   {}
func (Conflict) action() {}
func (Ready) action()    {}
