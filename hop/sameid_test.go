package hop

import (
	"net/http/httptrace"
	"testing"
)

// TestCopyOfRefusalThatIsNotCheckedYet guards against a copy of a refusal that is taken for the answer to another request with its id, because net/http reuses the connection before the refusal is checked.
func TestCopyOfRefusalThatIsNotCheckedYet(t *testing.T) {
	c := &conn{writes: 1}
	first, second := connTrace{requestID: "a"}, connTrace{requestID: "a"}
	last := connTrace{requestID: "a", refusedConns: refusedConnsMax}
	for _, s := range []*connTrace{&first, &second, &last} {
		s.gotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
	}
	if first.passedOver || !second.passedOver || last.passedOver {
		t.Errorf("connection passed over: %t, %t, %t; want only by the second request", first.passedOver, second.passedOver, last.passedOver)
	}
	if last.proveRefusal("a") {
		t.Error("the copy is believed")
	}
	last.forget()
	if !first.proveRefusal("a") {
		t.Error("the refusal is not believed")
	}
	first.forget()
	if !c.refusals.has("a") {
		t.Error("the connection has no record of the refusal")
	}
}

// TestAnsweredRequestIsNoRefusal guards against connections that are closed because they have carried as many answers as they may carry refusals.
func TestAnsweredRequestIsNoRefusal(t *testing.T) {
	c := &conn{}
	for range refusalsMax {
		s := connTrace{requestID: "a"}
		s.gotConn(httptrace.GotConnInfo{Conn: c})
		s.forget()
	}
	if c.refusals.has("a") || !c.refusals.hasRoom() {
		t.Errorf("the connection has a record of %d refusals", len(c.refusals.hashes))
	}
}
