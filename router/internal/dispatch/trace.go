package dispatch

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// withSentTrace sets sent once a connection was obtained, before the first byte of the
// request is written to it.
func withSentTrace(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}
