package rollout

import "github.com/chiveseam/chiveseam/config"

// Action is something that the caller of a Tracker has to do: Query, Fetch, Apply, Reject,
// Conflict or Ready.
type Action interface{ action() }

// Query asks for an exchange of state with a peer, to learn which version the peer has in
// force. The answer is passed to Tracker.SetPeerVersion.
type Query struct{ Peer string }

// Fetch asks for the configuration of a peer, of MinRevision or higher. The caller reports the
// result with an Offer whose Source is the peer, or with FetchFailed.
type Fetch struct {
	Peer        string
	MinRevision uint64
}

// Apply asks to put a configuration in force and to announce it to the peers.
type Apply struct {
	Version       Version
	Configuration *config.Accepted
}

// Reject reports a version that was rejected, once for each version. Source is Platform or the
// name of a peer.
type Reject struct {
	Version Version
	Source  string
	Err     error
}

// Conflict reports that two payloads have the same revision, once for each Other. Kept is the
// version in force at this router, Other is the one that is not. Source is Platform or the name of
// the peer whose payload revealed the conflict.
type Conflict struct {
	Kept, Other Version
	Source      string
}

// Ready reports, once, that the router may serve requests.
type Ready struct{}

func (Query) action()    {}
func (Fetch) action()    {}
func (Apply) action()    {}
func (Reject) action()   {}
func (Conflict) action() {}
func (Ready) action()    {}
