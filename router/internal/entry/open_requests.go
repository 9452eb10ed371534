package entry

import (
	"sync"

	"github.com/chiveseam/chiveseam/result"
)

// workspaceLimitDivisor divides the limit on open requests: one workspace may
// have at most this fraction of them, so that a flood of one workspace leaves
// capacity for the others.
const workspaceLimitDivisor = 2

// openRequests counts callers' requests in progress. It is safe for concurrent
// use.
type openRequests struct {
	mu sync.Mutex
	// count and byWorkspace are guarded by mu. byWorkspace has the name of the
	// workspace as key and no entries of zero.
	count       int
	byWorkspace map[string]int
}

func (o *openRequests) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

// admitRequest counts a request as open. It returns a refusal instead if the router
// or the workspace is at its limit. The limit is the lower one of the settings
// and of the configuration. The caller must call releaseRequest for an admitted
// request.
func (s *Server) admitRequest(in *inboundRequest) *result.Result {
	limit := s.opts.MaxOpenRequests
	if configured := int(in.config.Proto.GetLimits().GetMaxConcurrentRequests()); configured > 0 {
		limit = min(limit, configured)
	}
	o := &s.open
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= limit {
		return routerBusy("the router has %d requests open", o.count)
	}
	name := in.workspace.Name
	if o.byWorkspace[name] >= max(limit/workspaceLimitDivisor, 1) {
		return routerBusy("workspace %q has %d requests open at the router", name, o.byWorkspace[name])
	}
	o.count++
	o.byWorkspace[name]++
	return nil
}

// releaseRequest counts an admitted request as ended.
func (s *Server) releaseRequest(in *inboundRequest) {
	o := &s.open
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.byWorkspace[in.workspace.Name]--
	if o.byWorkspace[in.workspace.Name] == 0 {
		delete(o.byWorkspace, in.workspace.Name)
	}
}
