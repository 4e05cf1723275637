package hop

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// refusalsMax is the number of refusals after which a connection takes no
	// further request, so that the ids of the requests need little memory.
	refusalsMax = 256

	// refusedConnsMax bounds the connections that a request closes because they have
	// carried a refusal of its id. A caller that sends many requests with one id
	// would otherwise have them all closed.
	refusedConnsMax = 4

	// discardBytesMax bounds the body of a refusal that is read so that the connection
	// can be used again, in bytes.
	discardBytesMax = 4 << 10
	// discardTimeout is how long the answer to a refused request waits for that body.
	discardTimeout = 20 * time.Millisecond
)

// refusals holds hashes of the ids of the requests that were refused on a
// connection, and of the last ones, whose answers may still be unknown. A faulty
// worker may write a refusal twice, and a request that was refused is sent again with
// the same id: a second refusal of an id on a connection proves nothing.
type refusals struct {
	mu     sync.Mutex
	hashes []uint64
}

// add adds the id and reports whether it was missing.
func (s *refusals) add(id string) bool {
	n := xxh3.HashString(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.hashes, n) {
		return false
	}
	s.hashes = append(s.hashes, n)
	return true
}

// remove removes the id.
func (s *refusals) remove(id string) {
	n := xxh3.HashString(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.hashes, n); i >= 0 {
		s.hashes = slices.Delete(s.hashes, i, i+1)
	}
}

// hasRoom reports whether there is room for another id.
func (s *refusals) hasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.hashes) < refusalsMax
}

// has reports whether the id is among them. It may also do so for an id whose hash is
// the same.
func (s *refusals) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.hashes) > 0 && slices.Contains(s.hashes, xxh3.HashString(id))
}

// mustAvoid reports whether the request must not be sent on the connection c,
// because the answer might be a copy of a refusal of its id.
func (s *connTrace) mustAvoid(c *conn) bool {
	if s.requestID == "" || s.refusedConns == refusedConnsMax || !c.refusals.has(s.requestID) {
		return false
	}
	s.refusedConns++
	return true
}

// proveRefusal reports whether a refusal that names the request id, or none if id is
// empty, can only be of the request of s. It can if nothing was sent on the
// connection before, or if no request with the id was refused on it.
func (s *connTrace) proveRefusal(id string) bool {
	if s.conn == nil || s.untracked {
		return false
	}
	if s.writesBefore > 0 && (id == "" || s.repeated) {
		return false
	}
	s.refused = id != ""
	if !s.conn.refusals.hasRoom() {
		s.retire()
	}
	return true
}

// forget removes the id of the request from those of its connection, unless the request
// was refused. Until then it is one of them: net/http may reuse the connection before
// the answer is checked.
func (s *connTrace) forget() {
	if s.conn != nil && s.requestID != "" && !s.repeated && !s.refused {
		s.conn.refusals.remove(s.requestID)
	}
}

// discardBody reads the body of the refusal p if it is short: otherwise each refusal would
// cost a connection.
func discardBody(p *http.Response) {
	if p.Close || p.ContentLength > discardBytesMax {
		return
	}
	defer time.AfterFunc(discardTimeout, func() { _ = p.Body.Close() }).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, discardBytesMax+1))
}
