package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/result"
)

// oddStatuses are status lines, without the protocol, that begin no answer to a request:
// the status has not three digits, or is below 200 or above 599. An interim status alone,
// behind which the connection ends, is none either.
var oddStatuses = []string{
	"000 None", "000", "0", "00", "0200 OK", "099 Low", "020 Low", "+20 Sign", "-12", "-00", "2e2", "20", "2000 OK", "1000", "",
	"100 Continue", "101 Switching Protocols", "102 Processing", "103 Early Hints", "199 High",
	"600 High", "601", "799 High", "999 High",
}

// sealedHeaders are the headers by which a worker proves that an answer to a1 is its own.
const sealedHeaders = "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n"

// oddAnswers returns the answers with these statuses, by name, each with the headers of
// a worker's own answer, of one without proof, and of a refusal.
func oddAnswers() map[string]string {
	m := make(map[string]string)
	for _, s := range oddStatuses {
		for name, headers := range map[string]string{
			"sealed":       sealedHeaders,
			"without seal": "Figwheel-Attempt-Id: a1\r\n",
			"not executed": sealedHeaders + "Figwheel-Not-Executed: 1\r\n",
			"of a daemon":  sealedHeaders + "Figwheel-Outcome: not-run\r\nFigwheel-Code: FW3004\r\n",
			"without any":  "",
		} {
			m[fmt.Sprintf("%q, %s", s, name)] = fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 4\r\n\r\nbody", s, headers)
		}
	}
	return m
}

// rawMesh returns an entry node whose only candidate is the daemon at the address.
func rawMesh(t *testing.T, daemon string) *node {
	t.Helper()
	e := platformMesh(t)
	v := caller.NewView(e.view.Load().Snapshot, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{{Name: "0", Address: daemon, Slots: 2, SameSite: true, Peer: &link.Peer{}}})})
	v.Retries = e.view.Load().Retries
	e.view.Store(v)
	return e
}

// TestOddStatusIsNoAnswer guards against bytes of a worker or a daemon that are no answer
// in the protocol and reach the caller as one, with the proof of the worker or without,
// and against a refusal in such bytes that is believed. The caller must get a failure of
// the daemon that promises nothing, and the request must run once.
func TestOddStatusIsNoAnswer(t *testing.T) {
	type observed struct {
		Status  int
		Outcome string
		Seal    string
		Runs    int64
		Cut     bool // whether the connection ended before the answer was complete
	}
	want := observed{Status: http.StatusBadGateway, Outcome: "unknown", Runs: 1}
	for name, answer := range oddAnswers() {
		for end, mesh := range map[string]func(runs *atomic.Int64) *node{
			"worker": func(runs *atomic.Int64) *node { return platformMesh(t, answerAndClose(t, runs, answer)) },
			"daemon": func(runs *atomic.Int64) *node { return rawMesh(t, answerAndClose(t, runs, answer)) },
		} {
			t.Run(end+" "+name, func(t *testing.T) {
				var runs atomic.Int64
				q := request(t, mesh(&runs), http.MethodPost, "/once/", nil)
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				p, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
				if err != nil {
					t.Fatal(err)
				}
				_, err = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				g := observed{p.StatusCode, p.Header.Get(contract.OutcomeHeader), p.Header.Get("Figwheel-Server-Seal"), runs.Load(), err != nil}
				if d := cmp.Diff(want, g); d != "" {
					t.Errorf("(-want +got)\n%s", d)
				}
			})
		}
	}
}

// TestAnswerOfDaemonNeedsProof guards against an answer at the address of a daemon that
// no worker has given to this request, as of another program at the address, and that
// the caller gets as the answer: only a daemon's own failures have no proof.
func TestAnswerOfDaemonNeedsProof(t *testing.T) {
	failure := received{Status: http.StatusBadGateway, Outcome: "unknown", Code: "FW3017"}
	for name, c := range map[string]struct {
		headers string
		want    received
	}{
		"of the request":     {sealedHeaders, received{Status: http.StatusOK, Outcome: "run", Body: "whole"}},
		"without headers":    {"", failure},
		"without seal":       {"Figwheel-Attempt-Id: a1\r\n", failure},
		"without id":         {"Figwheel-Server-Seal: s\r\n", failure},
		"of another request": {"Figwheel-Attempt-Id: b1\r\nFigwheel-Server-Seal: s\r\n", failure},
		"encoded":            {sealedHeaders + "Content-Encoding: gzip\r\n", failure},
	} {
		var runs atomic.Int64
		e := rawMesh(t, platformWorker(t, &runs, func(c2 net.Conn, _ *http.Request) { reply(c2, "200 OK", c.headers, "whole") }))
		q := request(t, e, http.MethodPost, "/once/", nil)
		q.Header.Set("Figwheel-Attempt-Id", "a1")
		if d := cmp.Diff(c.want, send(t, q)); d != "" {
			t.Errorf("%s: (-want +got)\n%s", name, d)
		}
	}
}

// answerAndClose returns the address of a worker that answers each request with these
// bytes and closes the connection.
func answerAndClose(t *testing.T, runs *atomic.Int64, answer string) string {
	t.Helper()
	return platformWorker(t, runs, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
}

// TestOddStatusTakesConnectionOutOfUse guards against a connection on which bytes that
// are no answer came and that carries the next request, whose answer may follow them.
func TestOddStatusTakesConnectionOutOfUse(t *testing.T) {
	for _, s := range []string{"000 None", "099 Low", "101 Switching Protocols", "600 High", "999 High"} {
		t.Run(s, func(t *testing.T) {
			var connections, requests atomic.Int64
			w := listen(t, func(c net.Conn) {
				connections.Add(1)
				b := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(b); err != nil {
						return
					}
					if requests.Add(1) == 1 {
						reply(c, s, sealedHeaders, "odd")
						continue
					}
					reply(c, "200 OK", sealedHeaders, "whole")
				}
			})
			e := platformMesh(t, w)
			var got []received
			for range 2 {
				q := request(t, e, http.MethodPost, "/once/", nil)
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				got = append(got, send(t, q))
			}
			want := []received{{Status: http.StatusBadGateway, Outcome: "unknown", Code: got[0].Code}, {Status: http.StatusOK, Outcome: "run", Body: "whole"}}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
			if n := connections.Load(); n != 2 {
				t.Errorf("%d connections, want 2", n)
			}
		})
	}
}

// TestInterimAnswersBeforeAnswer guards against a daemon that takes an interim answer
// for the answer, or that drops the answer behind it.
func TestInterimAnswersBeforeAnswer(t *testing.T) {
	for _, s := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 High"} {
		var runs atomic.Int64
		e := platformMesh(t, platformWorker(t, &runs, func(c net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nFigwheel-Not-Executed: 1\r\n\r\n", s)
			reply(c, "201 Created", sealedHeaders, "whole")
		}))
		q := request(t, e, http.MethodPost, "/once/", nil)
		q.Header.Set("Figwheel-Attempt-Id", "a1")
		if d := cmp.Diff(received{Status: http.StatusCreated, Outcome: "run", Body: "whole"}, send(t, q)); d != "" {
			t.Errorf("%s: (-want +got)\n%s", s, d)
		}
	}
}

// TestStatusOfWorkerIsForwarded guards against a daemon that takes a proper, if rare,
// status of a worker for none.
func TestStatusOfWorkerIsForwarded(t *testing.T) {
	for _, s := range []int{200, 226, 299, 300, 399, 400, 418, 499, 500, 599} {
		var runs atomic.Int64
		e := platformMesh(t, platformWorker(t, &runs, func(c net.Conn, _ *http.Request) { reply(c, fmt.Sprint(s), sealedHeaders, "whole") }))
		q := request(t, e, http.MethodPost, "/once/", nil)
		q.Header.Set("Figwheel-Attempt-Id", "a1")
		if d := cmp.Diff(received{Status: s, Outcome: "run", Body: "whole"}, send(t, q)); d != "" {
			t.Errorf("%d: (-want +got)\n%s", s, d)
		}
	}
}

// TestOddStatusOverBothHops guards against an answer whose status HTTP does not have and that
// passes two daemons to the caller, alone or after an interim one. A request that may run
// twice gets the answer of another worker instead. One that may not is answered 502, which
// does not say that it has not run.
func TestOddStatusOverBothHops(t *testing.T) {
	const rest = " Odd\r\nContent-Length: 3\r\n\r\nodd"
	for _, s := range []string{"000", "0", "00", "0200", "-12", "101", "199", "600", "999"} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			t.Run(s+" "+interim, func(t *testing.T) {
				var odd, whole atomic.Int64
				a := rawWorker(t, &odd, func(c net.Conn) { _, _ = io.WriteString(c, interim+"HTTP/1.1 "+s+rest) })
				b := rawWorker(t, &whole, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
				e, _ := mesh(t, a)
				g := send(t, request(t, e, http.MethodPost, "/once", nil))
				if g.Code == result.WrongAnswer.String() {
					g.Code = result.AnswerLost.String() // either says that the answer is none
				}
				if d := cmp.Diff(received{Status: http.StatusBadGateway, Outcome: "unknown", Code: result.AnswerLost.String()}, g); d != "" {
					t.Errorf("POST (-want +got)\n%s", d)
				}
				if n := odd.Load(); n != 1 {
					t.Errorf("the request was sent to %d workers, want 1", n)
				}
				e, _ = mesh(t, a, b)
				for range 4 {
					g = send(t, request(t, e, http.MethodGet, "/", nil))
					if d := cmp.Diff(http.StatusOK, g.Status); d != "" || g.Body != "ok" {
						t.Errorf("GET got %+v, want the answer of the other worker", g)
					}
				}
			})
		}
	}
}
