// Package child provides process attributes for child processes that must not outlive their
// parent.
package child

import "syscall"

// EndWithParent returns attributes by which the kernel kills a child process when the thread
// that started it ends, also if the parent is killed.
func EndWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
