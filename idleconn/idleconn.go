// Package idleconn checks idle connections before they are used for another exchange.
package idleconn

import (
	"net"
	"syscall"
)

// Usable reports whether an idle connection is open and has nothing to read. Data or an
// end of stream between two exchanges makes it unusable. Usable does not block, and cannot
// detect a peer that has become unreachable. For a connection without a file descriptor
// it returns true.
func Usable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
