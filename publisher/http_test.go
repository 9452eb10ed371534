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

// silentConn loses what is written once silent is set.
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

// A read on a silent connection ends with its margin, and takes the other kept
// connections with it: what lost one has probably lost all.
func TestSilentConnectionsAreReplacedTogether(t *testing.T) {
	is := is.New(t)
	const readers = 2 // as many connections are kept
	var together sync.WaitGroup
	together.Add(readers)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			together.Done()
			together.Wait()
		}
		w.WriteHeader(http.StatusNotModified)
	}))
	defer server.Close()
	client := NewClient(time.Second)
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	generation := &atomic.Bool{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return silentConn{conn, generation}, err
	}
	source := NewHTTP(server.URL, client)
	var open sync.WaitGroup
	for range readers {
		open.Go(func() { _, _ = source.Configuration(t.Context(), 0, 0) })
	}
	open.Wait()
	generation.Store(true)
	generation = &atomic.Bool{}

	began := time.Now()
	_, err := source.Configuration(t.Context(), 1, 0)
	is.True(err != nil && err != ErrUnchanged)
	is.True(time.Since(began) >= answerMargin)
	_, err = source.Configuration(t.Context(), 1, 0)
	is.Equal(err, ErrUnchanged) // on a new connection
}
