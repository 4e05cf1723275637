package caller

import (
	"errors"
	"syscall"
)

// States of a connection after the end of the other side, in Linux.
const (
	tcpClose     = 7
	tcpCloseWait = 8

	tcpStateMask = 0xff // of the first word of TCP_INFO
)

// isClosedByPeer reports whether the other side of the connection fd has closed or
// reset it, also if unread bytes come first. It reports false where the system
// cannot tell.
func isClosedByPeer(fd int) bool {
	n, _, err := syscall.Recvfrom(fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if n <= 0 {
		return err == nil || errors.Is(err, syscall.ECONNRESET)
	}
	v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	s := v & tcpStateMask
	return err == nil && (s == tcpClose || s == tcpCloseWait)
}
