package hop

import (
	"bytes"
	"sync/atomic"
)

// codingField is the beginning of a line, in lower case, that states a transfer coding.
const codingField = "transfer-encoding:"

// codingScan finds out whether the head of a response of HTTP/1.0 states a transfer coding. Such a
// head is faulty: that version has no codings. net/http removes the field and takes the
// framing of the chunks for the body. The zero value is ready to use. The goroutine that reads
// the connection owns all fields but the atomic ones: net/http may read on for the next request
// before a response without a body is checked.
type codingScan struct {
	due       atomic.Bool // whether the next byte that is read begins a response
	open      bool        // whether the head has not ended
	lines     int         // lines of the head that have ended
	length    int         // of the current line, without line breaks
	start     [len(codingField)]byte
	isHTTP10  bool
	isInterim bool
	hasCoding atomic.Bool // whether a head of HTTP/1.0 stated a transfer coding
}

// read scans the bytes b, which were read from the connection.
func (s *codingScan) read(b []byte) {
	if len(b) > 0 && s.due.Load() {
		s.due.Store(false)
		s.open, s.lines, s.length = true, 0, 0
		s.hasCoding.Store(false)
	}
	for i := 0; s.open && i < len(b); i++ {
		if b[i] == '\n' {
			s.endLine()
		} else if b[i] != '\r' {
			if s.length < len(s.start) {
				s.start[s.length] = b[i]
			}
			s.length++
		}
	}
}

// endLine evaluates a line of the head. A final head of another version has nothing to find.
func (s *codingScan) endLine() {
	l := bytes.ToLower(s.start[:min(s.length, len(s.start))])
	switch {
	case s.lines == 0:
		s.isHTTP10 = bytes.HasPrefix(l, []byte("http/1.0 "))
		s.isInterim = len(l) > 9 && l[9] == '1'
		s.open = s.isHTTP10 || s.isInterim
	case s.length == 0 && s.isInterim:
		s.lines = -1 // another head follows
	case s.length == 0:
		s.open = false
	case s.isHTTP10 && string(l) == codingField:
		s.hasCoding.Store(true)
	}
	s.lines++
	s.length = 0
}
