package hop

import (
	"bytes"
	"sync/atomic"
)

// codingField is the beginning of a line, in lower case, that states a transfer coding.
const codingField = "transfer-encoding:"

// oldHead finds out whether the head of a response of HTTP/1.0 states a transfer coding. Such a
// head is faulty: that version has no codings. net/http removes the field and takes the
// framing of the chunks for the body. The zero value is ready to use. The goroutine that reads
// the connection owns all fields but the atomic ones: net/http may read on for the next request
// before a response without a body is checked.
type oldHead struct {
	due       atomic.Bool // whether the next byte that is read begins a response
	open      bool        // whether the head has not ended
	lines     int         // lines of the head that have ended
	length    int         // of the current line, without line breaks
	start     [len(codingField)]byte
	isOld     bool
	isInterim bool
	hasCoding atomic.Bool // whether a head of HTTP/1.0 stated a transfer coding
}

// read scans the bytes b, which were read from the connection.
func (h *oldHead) read(b []byte) {
	if len(b) > 0 && h.due.Load() {
		h.due.Store(false)
		h.open, h.lines, h.length = true, 0, 0
		h.hasCoding.Store(false)
	}
	for i := 0; h.open && i < len(b); i++ {
		if b[i] == '\n' {
			h.endLine()
		} else if b[i] != '\r' {
			if h.length < len(h.start) {
				h.start[h.length] = b[i]
			}
			h.length++
		}
	}
}

// endLine evaluates a line of the head. A final head of another version has nothing to find.
func (h *oldHead) endLine() {
	l := bytes.ToLower(h.start[:min(h.length, len(h.start))])
	switch {
	case h.lines == 0:
		h.isOld = bytes.HasPrefix(l, []byte("http/1.0 "))
		h.isInterim = len(l) > 9 && l[9] == '1'
		h.open = h.isOld || h.isInterim
	case h.length == 0 && h.isInterim:
		h.lines = -1 // another head follows
	case h.length == 0:
		h.open = false
	case h.isOld && string(l) == codingField:
		h.hasCoding.Store(true)
	}
	h.lines++
	h.length = 0
}
