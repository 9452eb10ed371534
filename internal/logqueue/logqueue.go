// Package logqueue is an io.Writer for log lines that never blocks its callers.
//
// Lines wait in a bounded queue. When it is full, lines are dropped and counted;
// the count is written as a line of its own once there is room.
package logqueue

import (
	"bufio"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// queueLines bounds the lines that wait: a second of them on a busy router.
	queueLines = 2048
	// flushDelay groups lines into one write.
	flushDelay = 50 * time.Millisecond
	// bufferBytes is the size of one write.
	bufferBytes = 32 << 10
)

// Queue is a writer of lines. Write is safe for concurrent use.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a queue that writes to out while Run runs.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueLines)}
}

// Write takes one line. It never fails: a line that finds the queue full is
// counted as dropped.
func (q *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case q.lines <- copied:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes lines until t dies, then those that wait.
func (q *Queue) Run(t *tomb.Tomb) error {
	w := bufio.NewWriterSize(q.out, bufferBytes)
	for {
		select {
		case line := <-q.lines:
			q.drain(w, line)
			select {
			case <-time.After(flushDelay):
			case <-t.Dying():
			}
		case <-t.Dying():
			q.drain(w, nil)
			return nil
		}
	}
}

// drain writes the first line and all that wait. Output that cannot be written
// is lost: there is nowhere else to tell of it.
func (q *Queue) drain(w *bufio.Writer, first []byte) {
	w.Write(first)
	for {
		select {
		case line := <-q.lines:
			w.Write(line)
		default:
			if n := q.dropped.Swap(0); n > 0 {
				fmt.Fprintf(w, "{\"event\":\"log_lines_dropped\",\"level\":\"warn\",\"count\":%d}\n", n)
			}
			w.Flush()
			return
		}
	}
}
