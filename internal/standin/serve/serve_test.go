package serve_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uptrace/bunrouter"

	"github.com/chiveseam/chiveseam/internal/standin/fault"
	"github.com/chiveseam/chiveseam/internal/standin/serve"
)

const stopTimeout = 5 * time.Second

// protocols returns a client for each protocol that the server speaks.
func protocols() map[string]*http.Client {
	http2 := &http.Protocols{}
	http2.SetUnencryptedHTTP2(true)
	return map[string]*http.Client{
		"HTTP/1.1": {Transport: &http.Transport{}},
		"HTTP/2.0": {Transport: &http.Transport{Protocols: http2}},
	}
}

// An adapter that recovers panics would end an aborted answer cleanly, and its client
// would take a part of the body for the whole. This is checked for both protocols.
func TestAbortedAnswerGivesClientAnError(t *testing.T) {
	router := bunrouter.New()
	router.GET("/whole", serve.Handler(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto)
	}))
	router.GET("/aborted", serve.Handler(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	router.GET("/reset", serve.Handler(func(w http.ResponseWriter, _ *http.Request) {
		fault.Reset(w)
	}))
	server, err := serve.Start("127.0.0.1:0", router)
	is.New(t).NoErr(err)
	for protocol, client := range protocols() {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			body, err := get(client, server.URL()+"/whole")
			is.NoErr(err)
			is.Equal(body, protocol)
			_, err = get(client, server.URL()+"/aborted")
			is.True(err != nil)
			_, err = get(client, server.URL()+"/reset")
			is.True(err != nil)
			client.CloseIdleConnections()
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	is.New(t).NoErr(server.Shutdown(ctx))
}

// get returns the body at url, or an error if it is incomplete.
func get(client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
