package caller_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
	"figwheel/upstream"
)

// ended is how a request ended, as reported by the daemon at the caller (Link unset)
// or by the one beside the worker.
type ended struct {
	Link    bool
	Code    result.Code
	Outcome contract.Outcome
	Stage   hop.Stage
}

// decisions implements caller.Recorder. It sends the end of each request.
type decisions chan ended

func (decisions) RecordCall(string, result.Code, contract.Outcome, time.Duration) {}
func (d decisions) RecordDecision(v caller.Decision) {
	d <- ended{Code: v.Code, Outcome: v.Outcome, Stage: v.Stage}
}

// abandoned sends the end of a forwarded request.
func (d decisions) abandoned(a caller.Abandoned) {
	d <- ended{Link: true, Code: result.CallerGone, Outcome: a.Outcome, Stage: a.Stage}
}

// reportingMesh returns a daemon whose only instance of s is the worker at the
// address a, beside it if local is set and else beside a second daemon. Both
// daemons report the end of requests to d.
func reportingMesh(t testing.TB, a string, local bool, d decisions) (n, other *node) {
	n, o := mesh(t, a)
	other = o[0]
	s := n.View().Snapshot
	h := &caller.Handler{Daemon: n, Worker: &n.worker, Transport: hop.NewTransport(0, time.Second, time.Minute), Headers: contract.OwnHeaders(), Now: time.Now, Record: d, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}}
	n.call = start(t, h)
	other.link.Config.Handler.(*caller.LinkHandler).Abandoned = d.abandoned
	if local {
		v, _ := s.Service("s")
		n.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready"}, v, time.Now())
		l := []link.Candidate{{Name: "self", Slots: 2, Local: true, SameSite: true, Peer: &link.Peer{}}}
		n.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates(l)}))
	}
	return n, other
}

// next returns the next k ends that the daemons report, first that of the daemon at
// the caller.
func (d decisions) next(t *testing.T, k int) []ended {
	t.Helper()
	var r []ended
	for range k {
		select {
		case e := <-d:
			if e.Link {
				r = append(r, e)
			} else {
				r = append([]ended{e}, r...)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%d of %d ends reported", len(r), k)
		}
	}
	return r
}

// TestAbandonedRequestReportsWhereItWas guards against logs that do not say where a
// request was when its caller left.
func TestAbandonedRequestReportsWhereItWas(t *testing.T) {
	const whole, part = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n", "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nhalf"
	gone := func(o contract.Outcome, s hop.Stage) ended {
		return ended{Code: result.CallerGone, Outcome: o, Stage: s}
	}
	atLink := func(e ended) ended { e.Link = true; return e }
	for _, c := range []struct {
		name    string
		local   bool
		waiting bool // whether both slots are taken
		text    string
		want    []ended
	}{
		{"body incomplete", true, false, part, []ended{gone(contract.NotRun, hop.StageBody)}},
		{"waits for the local worker", true, true, whole, []ended{gone(contract.NotRun, hop.StageQueue)}},
		{"at the local worker", true, false, whole, []ended{gone(contract.Unknown, hop.StageWorker)}},
		{"waits at another daemon", false, true, whole, []ended{gone(contract.Unknown, hop.StageLink), atLink(gone(contract.NotRun, hop.StageQueue))}},
		{"at the worker of another daemon", false, false, whole, []ended{gone(contract.Unknown, hop.StageLink), atLink(gone(contract.Unknown, hop.StageWorker))}},
	} {
		t.Run(c.name, func(t *testing.T) {
			began, release := make(chan struct{}, 8), make(chan struct{})
			w := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
				}
			}))
			d := make(decisions, 8)
			n, other := reportingMesh(t, address(w), c.local, d)
			at := &n.worker
			if !c.local {
				at = &other.worker
			}
			defer close(release)
			want := 1
			if c.waiting {
				for range 2 {
					k := dial(t, n.call.Listener.Addr().String())
					_, _ = io.WriteString(k, whole)
					<-began
				}
				want = 3
			}
			k := dial(t, n.call.Listener.Addr().String())
			if _, err := io.WriteString(k, c.text); err != nil {
				t.Fatal(err)
			}
			switch {
			case c.text == part:
				time.Sleep(50 * time.Millisecond) // else the request may be read after its end
			case c.waiting:
				for at.InFlight() < want {
					time.Sleep(time.Millisecond)
				}
			default:
				<-began
			}
			_ = k.Close()
			if d := cmp.Diff(c.want, d.next(t, len(c.want))); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

func dial(t testing.TB, a string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a)
	if err != nil {
		t.Fatal(fmt.Errorf("dial %s: %w", a, err))
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
