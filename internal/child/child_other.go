//go:build !linux

package child

import "syscall"

// EndWithParent returns nil: other kernels have no signal on the death of a parent.
func EndWithParent() *syscall.SysProcAttr { return nil }
