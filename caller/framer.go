package caller

import (
	"bytes"
	"slices"
)

// framedHeadBytesMax bounds the head of a request that a framer follows, in bytes.
const framedHeadBytesMax = 8 << 10

// framer finds where requests without bodies begin and end in the bytes of a
// connection. It gives up at the first request that it cannot be sure of: one with a
// body, with line ends or header fields that parsers read differently, or with a long
// head. What follows might be bytes of a body, which must not be taken for a request.
// The zero value stands at the start of a connection.
type framer struct {
	lost      bool
	head      []byte  // of the request whose end has not been found
	scanned   int64   // bytes of the connection that were scanned
	delivered int64   // bytes of the connection that net/http has got
	ends      []int64 // positions at which the requests that were found end, above delivered
}

// scan scans the next bytes of the connection and calls found with the head of each
// request that ends in them. The head is valid during the call.
func (f *framer) scan(b []byte, found func(head []byte)) {
	for len(b) > 0 && !f.lost {
		from := max(0, len(f.head)-len(headEnd)+1)
		f.head = append(f.head, b...)
		i := bytes.Index(f.head[from:], headEnd)
		if i < 0 {
			f.scanned += int64(len(b))
			f.lost = len(f.head) > framedHeadBytesMax
			break
		}
		n := from + i + len(headEnd)
		used := n - (len(f.head) - len(b))
		f.scanned += int64(used)
		if f.lost = n > framedHeadBytesMax || !isWholeRequest(f.head[:n]); f.lost {
			break
		}
		f.ends = append(f.ends, f.scanned)
		found(f.head[:n])
		f.head, b = f.head[:0], b[used:]
	}
	if f.lost {
		f.head = nil
	}
}

// limit returns how many of the next n bytes net/http may get: not more than the rest of
// one request, so that the next one stays with the Connection.
func (f *framer) limit(n int) int {
	if len(f.ends) == 0 {
		return n
	}
	return int(min(int64(n), f.ends[0]-f.delivered))
}

// deliver records that net/http has got n bytes.
func (f *framer) deliver(n int) {
	f.delivered += int64(n)
	ended := 0
	for ended < len(f.ends) && f.ends[ended] <= f.delivered {
		ended++
	}
	f.ends = dropFirst(f.ends, ended)
}

// dropCapacityMax bounds the elements for which dropFirst keeps the array of an empty
// slice.
const dropCapacityMax = 64

// dropFirst removes the first n elements of l. It keeps the array, so that a connection
// whose caller waits for each answer allocates none for each request.
func dropFirst[T any](l []T, n int) []T {
	l = slices.Delete(l, 0, n)
	if len(l) == 0 && cap(l) > dropCapacityMax {
		return nil
	}
	return l
}

var headEnd = []byte("\r\n\r\n")

// isWholeRequest reports whether the head is that of a request without a body after
// which the connection goes on, beyond doubt.
func isWholeRequest(head []byte) bool {
	first, rest, _ := bytes.Cut(head[:len(head)-len(headEnd)], lineEnd)
	if !bytes.HasPrefix(first, []byte("GET /")) || !bytes.HasSuffix(first, []byte(" HTTP/1.1")) || !isPlain(first) || len(rest) == 0 {
		return false
	}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isPlain(line) || bytes.ContainsAny(name, " \t") {
			return false
		}
		for _, n := range framingHeaders {
			if bytes.EqualFold(name, n) {
				return false
			}
		}
		if bytes.EqualFold(name, hostHeader) && !isPlainHost(bytes.Trim(value, " \t")) {
			return false
		}
	}
	return true
}

var (
	lineEnd    = []byte("\r\n")
	hostHeader = []byte("Host")
	// framingHeaders are the headers that decide whether a request has a body and
	// whether the connection goes on after it.
	framingHeaders = [][]byte{
		[]byte("Content-Length"), []byte("Transfer-Encoding"), []byte("Connection"),
		[]byte("Upgrade"), []byte("Expect"), []byte("Trailer"),
	}
)

// isPlain reports whether the line has only visible ASCII characters, spaces and tabs.
func isPlain(line []byte) bool {
	for _, c := range line {
		if (c < ' ' || c > '~') && c != '\t' {
			return false
		}
	}
	return true
}

// isPlainHost reports whether the value of a Host header is a name or an address, with a
// port or without. net/http rejects some others, but http.ReadRequest takes them.
func isPlainHost(value []byte) bool {
	for _, c := range value {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '.', c == '-', c == '_', c == ':', c == '[', c == ']':
		default:
			return false
		}
	}
	return len(value) > 0
}
