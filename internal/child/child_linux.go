// Package child starts processes that do not outlive the one that started them.
package child

import "syscall"

// EndWithParent lets the kernel end a process with its parent, also when the parent
// is killed.
func EndWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
