package entry

import (
	"sync"

	"github.com/chiveseam/chiveseam/result"
)

// workspacePart is the part of the open requests that one workspace may have,
// so that a flood by one leaves room for the others.
const workspacePart = 2

// openRequests counts the requests in progress. It is safe for concurrent use.
type openRequests struct {
	mu          sync.Mutex
	count       int
	byWorkspace map[string]int
}

func (o *openRequests) total() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

// enter counts a request as open within the limits of the settings and of the
// configuration. It returns a refusal at a limit.
func (s *Server) enter(c *caller) *result.Result {
	limit := s.opts.MaxOpenRequests
	if configured := int(c.config.Proto.GetLimits().GetMaxConcurrentRequests()); configured > 0 {
		limit = min(limit, configured)
	}
	o := &s.open
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= limit {
		return busy("the router has %d requests open", o.count)
	}
	name := c.workspace.Name
	if o.byWorkspace[name] >= max(limit/workspacePart, 1) {
		return busy("workspace %q has %d requests open at the router", name, o.byWorkspace[name])
	}
	o.count++
	o.byWorkspace[name]++
	return nil
}

// leave ends an open request.
func (s *Server) leave(c *caller) {
	o := &s.open
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.byWorkspace[c.workspace.Name]--
	if o.byWorkspace[c.workspace.Name] == 0 {
		delete(o.byWorkspace, c.workspace.Name)
	}
}
