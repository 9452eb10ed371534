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

func start(t *testing.T, rate float64) (*platform.Server, *reader.HTTP) {
	t.Helper()
	server := platform.New(rate)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return server, reader.NewHTTP(listener.URL, listener.Client())
}

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

func TestMalformedWatchIsRefused(t *testing.T) {
	is := is.New(t)
	server := platform.New(platform.DefaultRate)
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/instances?after=x", nil))
	is.Equal(recorder.Code, http.StatusBadRequest)
}
