package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// A workspace that floods the router must not use up the limit on open requests,
// which would lead to refusals for every other workspace.
func TestWorkspaceCannotUseUpOpenRequests(t *testing.T) {
	is := is.New(t)
	s := &Server{opts: Options{MaxOpenRequests: 8}, open: openRequests{byWorkspace: map[string]int{}}}
	accepted := &config.Accepted{Proto: configtest.Valid()}
	flood := &inboundRequest{config: accepted, workspace: &v1.Workspace{Name: "flood"}}
	small := &inboundRequest{config: accepted, workspace: &v1.Workspace{Name: "small"}}
	for range 4 {
		is.True(s.admitRequest(flood) == nil)
	}
	refusal := s.admitRequest(flood)
	is.Equal(refusal.Code, v1.Code_ROUTER_BUSY)
	is.Equal(refusal.Ran, v1.Ran_NO)
	is.True(refusal.RetryAfter > 0)
	is.True(s.admitRequest(small) == nil)
	s.releaseRequest(flood)
	is.True(s.admitRequest(flood) == nil)
	is.Equal(s.OpenRequests(), 5)
}

// A limit in the configuration below that of the settings must apply.
func TestConfigurationLowersOpenRequestLimit(t *testing.T) {
	is := is.New(t)
	s := &Server{opts: Options{MaxOpenRequests: 8}, open: openRequests{byWorkspace: map[string]int{}}}
	configuration := configtest.Valid()
	configuration.Limits = &v1.Limits{MaxConcurrentRequests: 1}
	in := &inboundRequest{config: &config.Accepted{Proto: configuration}, workspace: &v1.Workspace{Name: "small"}}
	is.True(s.admitRequest(in) == nil)
	is.Equal(s.admitRequest(in).Code, v1.Code_ROUTER_BUSY)
}
