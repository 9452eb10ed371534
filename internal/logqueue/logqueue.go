// Package logqueue provides an io.Writer for log lines that never blocks its callers.
//
// Lines wait in a bounded queue for a goroutine that writes them. When the queue is full, lines
// are dropped and counted; the count is logged as a line of its own after the waiting lines are
// written.
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
	// queueLines bounds the lines that wait. It is the number of lines that a busy router logs
	// in a second.
	queueLines = 2048
	// flushDelay is how long Run waits after a write, so that the lines of that time are
	// written together.
	flushDelay = 50 * time.Millisecond
	// bufferBytes is the size of the write buffer, and thereby of the largest write of several
	// lines.
	bufferBytes = 32 << 10
)

// Queue is an io.Writer whose lines Run writes to another writer. Write and Dropped are safe
// for concurrent use; Run is called once.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// New returns a queue of lines for out. Nothing is written before Run is called.
func New(out io.Writer) *Queue {
	return &Queue{out: out, lines: make(chan []byte, queueLines)}
}

// Write queues a copy of one line. It never fails: if the queue is full, the line is dropped
// and counted.
func (q *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case q.lines <- copied:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last line that reported them.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Run writes queued lines until t is dying, and then those that still wait.
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

// drain writes first and all lines that wait, and reports the lines dropped before. Errors of
// the output are ignored, because there is nowhere else to log them.
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
