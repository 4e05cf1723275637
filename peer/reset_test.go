package peer_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"figwheel/hop/hoptest"
	"figwheel/peer"
	"figwheel/peer/peerpb"
)

// TestResetDuringRequestIsNoMessage guards against the first part of a message that is taken
// for the whole one, because the connection was reset while a large request was still being
// written. Beside it, a whole message without a length must pass.
func TestResetDuringRequestIsNoMessage(t *testing.T) {
	const exchanges = 100
	q := &peerpb.ExchangeRequest{From: "b"}
	for i := range 20_000 {
		q.News = append(q.News, &peerpb.Record{Name: fmt.Sprint("instance-", i), Site: strings.Repeat("s", 100)})
	}
	part, err := proto.Marshal(&peerpb.ExchangeResponse{News: []*peerpb.Record{{Name: "a", Incarnation: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\n" + string(part)
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		want int // messages that were read
	}{
		{"reset", hoptest.ResetEarly, 0},
		{"closed", hoptest.CloseEarly, exchanges},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := peer.NewClient(&peer.Meter{}, nil)
			defer k.Close()
			a := hoptest.ServeEarly(t, answer, c.end)
			got := 0
			for range exchanges {
				if p, err := k.Exchange(t.Context(), a, q); err == nil && len(p.GetNews()) == 1 {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d of %d messages were read, want %d", got, exchanges, c.want)
			}
		})
	}
}
