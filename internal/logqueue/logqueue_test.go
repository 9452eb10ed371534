package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"gopkg.in/tomb.v2"

	"github.com/chiveseam/chiveseam/internal/logqueue"
)

// TestLinesAreWrittenInOrderAndAtTheEnd checks that lines keep their order and that Run writes
// those that still wait when it is stopped.
func TestLinesAreWrittenInOrderAndAtTheEnd(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := logqueue.New(&out)
	var writer tomb.Tomb
	writer.Go(func() error { return q.Run(&writer) })
	for i := range 100 {
		fmt.Fprintf(q, "line %d\n", i)
	}
	writer.Kill(nil)
	is.NoErr(writer.Wait())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 100)
	is.Equal(lines[99], "line 99")
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestWritersNeverBlock guards against a blocked output that stops the goroutines that log:
// Write must return, and the dropped lines must be reported.
func TestWritersNeverBlock(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	q := logqueue.New(out)
	var writer tomb.Tomb
	writer.Go(func() error { return q.Run(&writer) })
	for range 20_000 {
		n, err := q.Write([]byte(strings.Repeat("x", 100) + "\n"))
		is.NoErr(err)
		is.Equal(n, 101)
	}
	close(out.release)
	writer.Kill(nil)
	is.NoErr(writer.Wait())
	is.True(strings.Contains(out.text.String(), "log_lines_dropped"))
	is.Equal(q.Dropped(), uint64(0))
}
