package publisher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silentConn discards what is written to it once silent is set, like a network that drops packets
// without an error.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// If the network drops the packets of all connections, the first call fails after answerMargin. It
// must close the other idle connections too, or the next call would wait on one of them and fail as
// well.
func TestSilentConnectionsAreReplacedTogether(t *testing.T) {
	is := is.New(t)
	const readers = 2 // concurrent calls, so that as many connections stay open
	var bothArrived sync.WaitGroup
	bothArrived.Add(readers)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			bothArrived.Done()
			bothArrived.Wait()
		}
		w.WriteHeader(http.StatusNotModified)
	}))
	defer server.Close()
	client := NewClient(time.Second)
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	silent := &atomic.Bool{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return silentConn{conn, silent}, err
	}
	source := NewHTTP(server.URL, client)
	var calls sync.WaitGroup
	for range readers {
		calls.Go(func() { _, _ = source.Configuration(t.Context(), 0, 0) })
	}
	calls.Wait()
	silent.Store(true)
	silent = &atomic.Bool{} // New connections work.

	began := time.Now()
	_, err := source.Configuration(t.Context(), 1, 0)
	is.True(err != nil && err != ErrUnchanged)
	is.True(time.Since(began) >= answerMargin)
	_, err = source.Configuration(t.Context(), 1, 0)
	is.Equal(err, ErrUnchanged) // answered on a new connection
}
