// Command rig2 plays the cases of the second independent review: routers as separate processes, with stand-ins of the platform's store,
// of engines and of consumers in this process. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// maxTime bounds a run.
const maxTime = 118 * time.Second

// recorder writes what was sent, answered and run to a file. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}

// run is the outcome of a case: whether its rule was broken.
type caseFunc func(rec *recorder, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case takes too long")
		rec.close()
		os.Exit(2) // the routers end with this process
	})
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		rec.close()
		os.Exit(2)
	case broken:
		rec.say("the rule was broken")
		rec.close()
		os.Exit(1)
	}
	rec.say("the rule held")
	rec.close()
}
