package e2e

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/chiveseam/chiveseam/internal/child"
)

const (
	// waitTimeout limits each wait for a condition.
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	// logTailBytes is how much of the end of a process's log a failed test prints.
	logTailBytes = 4 << 10
)

// await polls until condition returns true. After waitTimeout it ends the test
// and prints what observed returns.
func await(t *testing.T, what string, condition func() bool, observed func() any) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: timed out; last state: %v", what, observed())
		}
		time.Sleep(pollInterval)
	}
}

// process is a program that the test started.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string
	exited  chan struct{}
	// exitCode is valid once exited is closed. It is -1 if a signal ended the
	// process.
	exitCode int
}

// startProcess starts a program of binDir, which is killed at the end of the
// test. Standard output and error go to a log file.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	logFile, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	defer logFile.Close()
	p := &process{name: name, logPath: logFile.Name(), exited: make(chan struct{})}
	p.cmd = exec.Command(programPath(program), args...)
	p.cmd.Stdout = logFile
	p.cmd.Stderr = logFile
	p.cmd.SysProcAttr = child.EndWithParent()
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.wait()
	t.Cleanup(func() { p.cleanUp(t) })
	return p
}

// wait records the exit code and closes exited once the process has ended.
func (p *process) wait() {
	_ = p.cmd.Wait()
	p.exitCode = p.cmd.ProcessState.ExitCode()
	close(p.exited)
}

// cleanUp kills the process and logs the end of its output if the test failed.
func (p *process) cleanUp(t *testing.T) {
	p.kill()
	if t.Failed() {
		t.Logf("end of the log of %s:\n%s", p.name, p.logTail())
	}
}

// signal sends a signal to the process. It does nothing if the process has
// already ended.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Errorf("signal %v to %s: %v", sig, p.name, err)
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	// Kill fails only if the process has already ended.
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits until the process ends and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	await(t, p.name+" exits", func() bool { return !p.running() }, func() any { return string(p.logTail()) })
	return p.exitCode
}

// log returns the output of the process so far, or the text of the error if the
// log file cannot be read.
func (p *process) log() []byte {
	data, err := os.ReadFile(filepath.Clean(p.logPath))
	if err != nil {
		return []byte(err.Error())
	}
	return data
}

// logTail returns the whole lines among the last logTailBytes of the log.
func (p *process) logTail() []byte {
	data := p.log()
	if len(data) <= logTailBytes {
		return data
	}
	data = data[len(data)-logTailBytes:]
	_, rest, _ := bytes.Cut(data, []byte("\n"))
	return rest
}
