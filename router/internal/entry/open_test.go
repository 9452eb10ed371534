package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/config/configtest"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func TestOneWorkspaceLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	s := &Server{opts: Options{MaxOpenRequests: 8}, open: openRequests{byWorkspace: map[string]int{}}}
	accepted := &config.Accepted{Proto: configtest.Valid()}
	flood := &caller{config: accepted, workspace: &v1.Workspace{Name: "flood"}}
	small := &caller{config: accepted, workspace: &v1.Workspace{Name: "small"}}
	for range 4 {
		is.True(s.enter(flood) == nil)
	}
	refusal := s.enter(flood)
	is.Equal(refusal.Code, v1.Code_ROUTER_BUSY)
	is.Equal(refusal.Ran, v1.Ran_NO)
	is.True(refusal.RetryAfter > 0)
	is.True(s.enter(small) == nil)
	s.leave(flood)
	is.True(s.enter(flood) == nil)
	is.Equal(s.OpenRequests(), 5)
}

func TestConfigurationLowersTheLimit(t *testing.T) {
	is := is.New(t)
	s := &Server{opts: Options{MaxOpenRequests: 8}, open: openRequests{byWorkspace: map[string]int{}}}
	configuration := configtest.Valid()
	configuration.Limits = &v1.Limits{MaxConcurrentRequests: 1}
	c := &caller{config: &config.Accepted{Proto: configuration}, workspace: &v1.Workspace{Name: "small"}}
	is.True(s.enter(c) == nil)
	is.Equal(s.enter(c).Code, v1.Code_ROUTER_BUSY)
}
