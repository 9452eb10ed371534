package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chiveseam/chiveseam/internal/standin/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	reader "github.com/chiveseam/chiveseam/publisher"
)

const (
	noWait   = 0
	longWait = 10 * time.Second
)

// start serves a new platform over HTTP until the test ends and returns a client of it.
func start(t *testing.T, rate float64) (*platform.Server, *reader.HTTP) {
	t.Helper()
	server := platform.New(rate)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return server, reader.NewHTTP(listener.URL, listener.Client())
}

// A watch must end when a newer configuration is published, long before its wait is
// over. While it waits it counts as one call. A read without a wait reports that nothing
// is newer.
func TestWatchReturnsConfigurationPublishedLater(t *testing.T) {
	is := is.New(t)
	server, source := start(t, platform.DefaultRate)
	server.PublishConfiguration(1, []byte("a"))
	go func() {
		for server.Stats().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		server.PublishConfiguration(2, []byte("b"))
	}()
	got, err := source.Configuration(context.Background(), 1, longWait)
	is.NoErr(err)
	is.Equal(got.Revision, uint64(2))
	is.Equal(got.Payload, []byte("b"))
	is.Equal(server.Stats().Calls, uint64(1)) // a waiting watch is one call

	_, err = source.Configuration(context.Background(), 2, noWait)
	is.True(errors.Is(err, reader.ErrUnchanged))
}

// A platform with StaleRevision answers a reader with an older revision than the one it
// already has. System tests use it to check that routers keep the newer one.
func TestStaleReplicaAnswersWithOlderRevision(t *testing.T) {
	is := is.New(t)
	server, source := start(t, platform.DefaultRate)
	server.PublishConfiguration(1, []byte("a"))
	server.PublishConfiguration(2, []byte("b"))
	server.SetFaults(platform.Faults{StaleRevision: 1})
	got, err := source.Configuration(context.Background(), 2, noWait)
	is.NoErr(err)
	is.Equal(got.Revision, uint64(1))
}

// A read above the rate limit and a read during an outage must fail with different
// errors.
func TestOutageAndRateLimitRefuseReads(t *testing.T) {
	is := is.New(t)
	server, source := start(t, 1)
	server.PublishInstances(&v1.InstanceList{Instances: []*v1.Instance{{Name: "r1"}}})
	list, err := source.Instances(context.Background(), 0, noWait)
	is.NoErr(err)
	is.Equal(list.Revision, uint64(1))
	is.True(list.AsOfUnixMs > 0)
	_, err = source.Instances(context.Background(), 0, noWait)
	is.True(errors.Is(err, reader.ErrRateLimited))

	server.SetFaults(platform.Faults{Outage: true})
	_, err = source.Instances(context.Background(), 0, noWait)
	is.True(err != nil)
	is.True(!errors.Is(err, reader.ErrRateLimited))
}

// A value that the lag hides must wake a waiting watch when the lag is over: nothing
// else is published that could wake it.
func TestPublishedValueIsVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	const lag = 100 * time.Millisecond
	server, source := start(t, platform.DefaultRate)
	server.SetFaults(platform.Faults{LagMs: lag.Milliseconds()})
	began := time.Now()
	server.PublishConfiguration(1, nil)
	_, err := source.Configuration(context.Background(), 0, noWait)
	is.True(errors.Is(err, reader.ErrUnchanged))
	_, err = source.Configuration(context.Background(), 0, longWait)
	is.NoErr(err)
	is.True(time.Since(began) >= lag)
}

// A malformed revision must not be taken for 0, which asks for any revision.
func TestMalformedWatchIsRefused(t *testing.T) {
	is := is.New(t)
	server := platform.New(platform.DefaultRate)
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/instances?after=x", nil))
	is.Equal(recorder.Code, http.StatusBadRequest)
}
