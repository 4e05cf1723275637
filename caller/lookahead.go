package caller

import "slices"

// lookahead is a queue of bytes that were read ahead. It is kept in pieces, each of
// which is released when its last byte has been taken. The memory of all queues
// together is counted in lookaheadBytes. The zero value is empty.
type lookahead struct {
	pieces [][]byte // none is empty
	taken  int      // bytes of the first piece that have been taken
	size   int      // memory of all pieces in bytes
}

func (l *lookahead) isEmpty() bool { return len(l.pieces) == 0 }

// add appends a copy of b.
func (l *lookahead) add(b []byte) {
	if i := len(l.pieces) - 1; i >= 0 {
		p := l.pieces[i]
		n := min(len(b), cap(p)-len(p))
		l.pieces[i], b = append(p, b[:n]...), b[n:]
	}
	if len(b) == 0 {
		return
	}
	p := append(slices.Grow([]byte(nil), max(len(b), lookaheadPieceBytesMin)), b...)
	l.pieces = append(l.pieces, p)
	l.grow(cap(p))
}

// take moves bytes from the front of the queue to b and returns their number.
func (l *lookahead) take(b []byte) int {
	p := l.pieces[0]
	n := copy(b, p[l.taken:])
	l.taken += n
	if l.taken < len(p) {
		return n
	}
	l.taken = 0
	l.pieces[0] = nil
	l.pieces = l.pieces[1:]
	if len(l.pieces) == 0 {
		l.pieces = nil
	}
	l.grow(-cap(p))
	return n
}

// release empties the queue.
func (l *lookahead) release() {
	l.grow(-l.size)
	*l = lookahead{}
}

// grow records that the memory of the queue has grown by n bytes.
func (l *lookahead) grow(n int) {
	l.size += n
	lookaheadBytes.Add(int64(n))
}
