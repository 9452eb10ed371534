package telemetry

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func codeNumber(code v1.Code) string { return strconv.Itoa(int(code)) }

// Fill adds the counts to a status, in a fixed order.
func (m *Metrics) Fill(status *v1.RouterStatus, accepted *config.Accepted) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status.PlatformCalls = m.platform
	status.Results = m.codeCounts()
	status.Workspaces = m.workspaceUsage(accepted)
	status.Control = m.controlCounts()
}

func (m *Metrics) codeCounts() []*v1.CodeCount {
	list := make([]*v1.CodeCount, 0, len(m.codes))
	for code, count := range m.codes {
		list = append(list, &v1.CodeCount{Code: uint32(code), Name: code.String(), Count: count})
	}
	slices.SortFunc(list, func(a, b *v1.CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

func (m *Metrics) workspaceUsage(accepted *config.Accepted) []*v1.WorkspaceUsage {
	list := make([]*v1.WorkspaceUsage, 0, len(m.usage))
	for key, count := range m.usage {
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

func (m *Metrics) controlCounts() []*v1.ControlBytes {
	list := make([]*v1.ControlBytes, 0, len(m.control))
	for key, count := range m.control {
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
