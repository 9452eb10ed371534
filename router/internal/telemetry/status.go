package telemetry

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func codeNumber(code v1.Code) string { return strconv.Itoa(int(code)) }

// FillStatus sets the counts in a status. Lists are sorted, so that equal counts give
// equal statuses. accepted, which may be nil, provides the shares of the
// workspaces.
func (m *Metrics) FillStatus(status *v1.RouterStatus, accepted *config.Accepted) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status.PlatformCalls = m.platformCallCount
	status.Results = m.statusResults()
	status.Workspaces = m.statusWorkspaces(accepted)
	status.Control = m.statusControl()
}

// statusResults returns the number of requests by result code, sorted by code.
// The caller holds m.mu.
func (m *Metrics) statusResults() []*v1.CodeCount {
	list := make([]*v1.CodeCount, 0, len(m.resultCounts))
	for code, count := range m.resultCounts {
		list = append(list, &v1.CodeCount{Code: uint32(code), Name: code.String(), Count: count})
	}
	slices.SortFunc(list, func(a, b *v1.CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

// statusWorkspaces returns the delivered cost and requests of each workspace in
// each pool, sorted by pool and workspace. The caller holds m.mu.
func (m *Metrics) statusWorkspaces(accepted *config.Accepted) []*v1.WorkspaceUsage {
	list := make([]*v1.WorkspaceUsage, 0, len(m.usageCounts))
	for key, count := range m.usageCounts {
		usage := &v1.WorkspaceUsage{Workspace: key.workspace, Pool: key.pool, Cost: count.cost, Requests: count.requests}
		if accepted != nil {
			if w, ok := accepted.Workspace(config.IDOf(key.workspace)); ok {
				usage.Share = w.Share
			}
		}
		list = append(list, usage)
	}
	slices.SortFunc(list, func(a, b *v1.WorkspaceUsage) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list
}

// statusControl returns the bytes and number of messages between routers by type
// and direction, sorted by both. The caller holds m.mu.
func (m *Metrics) statusControl() []*v1.ControlBytes {
	list := make([]*v1.ControlBytes, 0, len(m.messageCounts))
	for key, count := range m.messageCounts {
		list = append(list, &v1.ControlBytes{
			Message:   key.message,
			Direction: key.direction,
			Bytes:     count.bytes,
			Count:     count.count,
		})
	}
	slices.SortFunc(list, func(a, b *v1.ControlBytes) int {
		return cmp.Or(cmp.Compare(a.Message, b.Message), cmp.Compare(a.Direction, b.Direction))
	})
	return list
}
