package peer_test

import (
	"fmt"
	"net"
	"testing"

	"google.golang.org/protobuf/proto"

	"figwheel/hop/hoptest"
	"figwheel/peer"
	"figwheel/peer/peerpb"
)

// exchangeWith sends a message to a program at a daemon's address that answers with the head
// and a whole message. It returns whether the message was read.
func exchangeWith(t *testing.T, head string) bool {
	t.Helper()
	m, err := proto.Marshal(&peerpb.ExchangeResponse{News: []*peerpb.Record{{Name: "a", Incarnation: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	k := peer.NewClient(&peer.Meter{}, nil)
	defer k.Close()
	a := hoptest.ServeEarly(t, fmt.Sprintf("%s\r\nContent-Type: application/proto\r\nContent-Length: %d\r\n\r\n%s", head, len(m), m), func(*net.TCPConn) {})
	p, err := k.Exchange(t.Context(), a, &peerpb.ExchangeRequest{From: "b"})
	return err == nil && len(p.GetNews()) == 1
}

// TestOddStatusIsNoMessage guards against bytes of a program at the address of a daemon that
// are no answer in HTTP and are taken for a daemon's message.
func TestOddStatusIsNoMessage(t *testing.T) {
	for _, s := range []string{"000 None", "000", "0", "0200 OK", "099 Low", "-12", "", "101 Switching Protocols", "199 High", "600 High", "999 High"} {
		if exchangeWith(t, "HTTP/1.1 "+s) {
			t.Errorf("%q: the message was read", s)
		}
	}
	if !exchangeWith(t, "HTTP/1.1 200 OK") {
		t.Error("200: the message was not read")
	}
}

// TestOddFieldNameIsNoMessage guards against the same for a head with a field whose name HTTP
// does not allow.
func TestOddFieldNameIsNoMessage(t *testing.T) {
	for _, line := range []string{"X : y", "X Y: z", "Content-Length : 4", "Transfer Encoding: chunked", "X\x01: y", "X\x00Y: z", "X\t: y", ": y"} {
		if exchangeWith(t, "HTTP/1.1 200 OK\r\n"+line) {
			t.Errorf("%q: the message was read", line)
		}
	}
	if !exchangeWith(t, "HTTP/1.1 200 OK\r\nX-Y.z~: y") {
		t.Error("a proper head: the message was not read")
	}
}
