package contract

import (
	"strconv"
	"strings"
	"time"
)

// Queue says whether a request that is forwarded to another daemon may wait there. The
// zero value is that of a request that may wait until its deadline.
type Queue struct {
	NoWait  bool      // whether it must not wait before its body was sent
	WaitEnd time.Time // until which it may wait, zero if only its deadline limits that
}

// queueNoWait is the first word in the queue header of a request with Queue.NoWait.
const queueNoWait = "no"

// String returns q as written in the queue header of a request that is sent at now,
// empty for the zero value.
func (q Queue) String(now time.Time) string {
	var s []string
	if q.NoWait {
		s = append(s, queueNoWait)
	}
	if !q.WaitEnd.IsZero() {
		s = append(s, RemainingMs(now, q.WaitEnd))
	}
	return strings.Join(s, " ")
}

// ParseQueue parses the queue header of a request that was read at now. A part that is
// malformed becomes zero.
func ParseQueue(now time.Time, s string) Queue {
	var q Queue
	first, rest, _ := strings.Cut(s, " ")
	if q.NoWait = first == queueNoWait; q.NoWait {
		first = rest
	}
	if n, err := strconv.ParseInt(first, 10, 32); err == nil && n >= 0 {
		q.WaitEnd = now.Add(time.Duration(n) * time.Millisecond)
	}
	return q
}
