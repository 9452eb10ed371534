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

func TestLinesAreWrittenInOrderAndAtTheEnd(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	q := logqueue.New(&out)
	var duty tomb.Tomb
	duty.Go(func() error { return q.Run(&duty) })
	for i := range 100 {
		fmt.Fprintf(q, "line %d\n", i)
	}
	duty.Kill(nil)
	is.NoErr(duty.Wait())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 100)
	is.Equal(lines[99], "line 99")
}

// blocked is an output that does not take anything until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Writers are not held up by an output that blocks; what is dropped is told.
func TestWritersNeverBlock(t *testing.T) {
	is := is.New(t)
	out := &blocked{release: make(chan struct{})}
	q := logqueue.New(out)
	var duty tomb.Tomb
	duty.Go(func() error { return q.Run(&duty) })
	for range 20_000 {
		n, err := q.Write([]byte(strings.Repeat("x", 100) + "\n"))
		is.NoErr(err)
		is.Equal(n, 101)
	}
	close(out.release)
	duty.Kill(nil)
	is.NoErr(duty.Wait())
	is.True(strings.Contains(out.text.String(), "log_lines_dropped"))
	is.Equal(q.Dropped(), uint64(0))
}
