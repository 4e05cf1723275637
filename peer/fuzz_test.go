package peer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"figwheel/instance"
	"figwheel/peer"
	"figwheel/peer/peerpb"
)

// FuzzExchange merges arbitrary exchange messages into a membership table. It
// guards against messages that crash the daemon, add a record without a name or
// with an unknown state, or replace the daemon's own record.
func FuzzExchange(f *testing.F) {
	b, err := proto.Marshal(&peerpb.ExchangeRequest{
		From: "b", Head: &peerpb.Head{Sequence: 3, InForce: &peerpb.Release{Number: 3, Content: "h"}},
		News:     []*peerpb.Record{{Name: "b", Incarnation: 1, Site: "s", PeerAddress: "127.0.0.1:1", State: 2}, {Name: "a", Incarnation: math.MaxUint64, State: 2, Health: 2}},
		Suspects: []*peerpb.Suspect{{Request: 7, Level: 9}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{})
	now := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, b []byte) {
		var q peerpb.ExchangeRequest
		if proto.Unmarshal(b, &q) != nil {
			return
		}
		k := instance.New(instance.Record{Name: "a", Incarnation: 1, State: instance.Ready}, now)
		k.Merge(peer.ToRecords(q.GetNews()), now)
		for _, r := range k.All() {
			if r.Name == "" || r.State < instance.Starting || r.State > instance.Left {
				t.Fatalf("the table accepted an invalid record: %+v", r)
			}
		}
		if s := k.Self(); s.Name != "a" || s.State != instance.Ready || s.Incarnation == 0 {
			t.Fatalf("the daemon's own record became %+v", s)
		}
		k.RandomLive(rand.New(rand.NewPCG(1, 1)), 3, "")
		peer.ToHead(q.GetHead())
		peer.ToSuspects(q.GetSuspects())
		k.Differing(q.GetBuckets())
	})
}
