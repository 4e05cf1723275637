package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/site"
	"figwheel/upstream"
)

// accountRoutes are a route that needs a key and a public one.
var accountRoutes = []site.Route{
	{Name: "closed", Host: "h.example", PathPrefix: "/closed/", Targets: []site.Split{{Service: "s", Weight: 1}}, Timeout: time.Second, Rank: 2},
	{Name: "public", Host: "h.example", PathPrefix: "/public/", Targets: []site.Split{{Service: "s", Weight: 1}}, Timeout: time.Second, Rank: 2, Public: true},
}

// account returns a client account with the keys.
func account(name string, rate float64, keys ...string) site.Account {
	a := site.Account{Name: name, Rate: rate}
	for _, k := range keys {
		a.Keys = append(a.Keys, site.HashKey(k))
	}
	return a
}

// accountView returns a view of a version with the accounts and the candidates of v.
func accountView(t testing.TB, number uint64, c map[string]link.Candidates, l ...site.Account) *caller.View {
	t.Helper()
	s, err := site.Table{Number: number, Services: []site.Service{{Name: "s", Connections: 10}}, Routes: accountRoutes, Accounts: l}.Snapshot("a", number, "c")
	if err != nil {
		t.Fatal(err)
	}
	return caller.NewView(s, c)
}

// accountMesh returns an entry node whose only worker is at the address, beside the
// entry node itself or, if it is not local, beside another node.
func accountMesh(t testing.TB, local bool, worker string, l ...site.Account) *node {
	t.Helper()
	e := platformNode(t)
	n := e
	if !local {
		n = platformNode(t)
	}
	k := link.Candidate{Name: "0", Address: address(n.link), Slots: 2, SameSite: true, Local: local, Peer: &link.Peer{}}
	v := accountView(t, 7, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{k})}, l...)
	n.view.Store(v)
	s, _ := v.Snapshot.Service("s")
	n.worker.Set(upstream.Announcement{Service: "s", Address: worker, State: "Ready", Slots: 2, ID: "i-0"}, s, time.Now())
	e.view.Store(v)
	return e
}

// seen is what a worker received of a request, apart from what every request has.
type seen struct {
	Account []string
	Key     bool // whether any header contains a key
}

// accountWorker returns the address of a worker that sends what it receives to got.
func accountWorker(t testing.TB, got chan<- seen) string {
	var runs atomic.Int64
	return platformWorker(t, &runs, func(c net.Conn, q *http.Request) {
		got <- seen{q.Header["Figwheel-Tenant-Name"], strings.Contains(fmt.Sprint(q.Header, q.Trailer), "secret")}
		reply(c, "200 OK", "Figwheel-Attempt-Id: a1\r\nFigwheel-Server-Seal: s\r\n", "")
	})
}

// TestAccountOfRequest guards against requests that run without a known key, that are
// rejected although they need none, whose worker learns another account than that of the
// key, and against a key that gets to a worker. Each request goes to a worker beside the
// daemon that it enters, and to one beside another daemon.
func TestAccountOfRequest(t *testing.T) {
	accounts := []site.Account{account("first", 0, "secret-1", "secret-2"), account("second", 0, "secret-3")}
	cases := []struct {
		name     string
		accounts []site.Account
		path     string
		header   http.Header
		trailer  bool // whether a trailer has a key and the name of an account
		want     received
		seen     seen
	}{
		{"a known key", accounts, "/closed/", http.Header{"Figwheel-Key": {"secret-2"}}, false, received{Status: 200, Outcome: "run"}, seen{Account: []string{"first"}}},
		{"a known key and a forged name", accounts, "/closed/", http.Header{"Figwheel-Key": {"secret-3"}, "Figwheel-Tenant-Name": {"first"}, "Figwheel-Account": {"first"}}, false, received{Status: 200, Outcome: "run"}, seen{Account: []string{"second"}}},
		{"no key", accounts, "/closed/", http.Header{"Figwheel-Tenant-Name": {"first"}}, false, received{Status: 401, Outcome: "not-run", Code: "FW3020"}, seen{}},
		{"an unknown key", accounts, "/closed/", http.Header{"Figwheel-Key": {"secret-4"}}, false, received{Status: 401, Outcome: "not-run", Code: "FW3020"}, seen{}},
		{"an empty key", accounts, "/closed/", http.Header{"Figwheel-Key": {""}}, false, received{Status: 401, Outcome: "not-run", Code: "FW3020"}, seen{}},
		{"two keys", accounts, "/closed/", http.Header{"Figwheel-Key": {"secret-1", "secret-1"}}, false, received{Status: 401, Outcome: "not-run", Code: "FW3020"}, seen{}},
		{"no key and no route", accounts, "/none/", nil, false, received{Status: 404, Outcome: "not-run", Code: "FW3001"}, seen{}},
		{"accounts without any key", []site.Account{{}}, "/closed/", nil, false, received{Status: 401, Outcome: "not-run", Code: "FW3020"}, seen{}},
		{"a public route without a key", accounts, "/public/", http.Header{"Figwheel-Tenant-Name": {"first"}, "Figwheel-Account": {"first"}}, false, received{Status: 200, Outcome: "run"}, seen{}},
		{"a public route with an unknown key", accounts, "/public/", http.Header{"Figwheel-Key": {"secret-4"}}, false, received{Status: 200, Outcome: "run"}, seen{}},
		{"a public route with a known key", accounts, "/public/", http.Header{"Figwheel-Key": {"secret-1"}}, false, received{Status: 200, Outcome: "run"}, seen{Account: []string{"first"}}},
		{"a version without accounts", nil, "/closed/", http.Header{"Figwheel-Key": {"secret-1"}, "Figwheel-Tenant-Name": {"first"}}, false, received{Status: 200, Outcome: "run"}, seen{}},
		{"a key and a name in the trailer", accounts, "/public/", nil, true, received{Status: 200, Outcome: "run"}, seen{}},
	}
	for _, c := range cases {
		for _, local := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, local %t", c.name, local), func(t *testing.T) {
				got := make(chan seen, 8)
				q := request(t, accountMesh(t, local, accountWorker(t, got), c.accounts...), "GET", c.path, nil)
				for k, v := range c.header {
					q.Header[k] = v
				}
				q.Header.Set("Figwheel-Attempt-Id", "a1")
				if c.trailer {
					q.Body, q.ContentLength = io.NopCloser(strings.NewReader("body")), -1
					q.Trailer = http.Header{"Figwheel-Key": {"secret-1"}, "Figwheel-Tenant-Name": {"secret"}}
				}
				if d := cmp.Diff(c.want, send(t, q)); d != "" {
					t.Errorf("(-want +got)\n%s", d)
				}
				if len(got) == 0 && c.want.Status == 200 || len(got) > 0 && c.want.Status != 200 {
					t.Fatalf("the worker received %d requests", len(got))
				}
				if c.want.Status == 200 {
					if d := cmp.Diff(c.seen, <-got); d != "" {
						t.Errorf("at the worker (-want +got)\n%s", d)
					}
				}
			})
		}
	}
}

// TestAccountGoesBeforeRouteOnLink guards against a daemon that tells the one beside the
// worker another order or account than the configuration states, or a key.
func TestAccountGoesBeforeRouteOnLink(t *testing.T) {
	type observed struct {
		Rank, Account string
		Key           bool
	}
	rank := 3
	ranked, plain := account("ranked", 0, "secret-1"), account("plain", 0, "secret-2")
	ranked.Rank = &rank
	both := []site.Account{ranked, plain}
	for _, c := range []struct {
		name, path, key string
		accounts        []site.Account
		want            observed
	}{
		{"an account with a rank", "/closed/", "secret-1", both, observed{Rank: "3074", Account: "ranked"}},
		{"an account with a rank, public", "/public/", "secret-1", both, observed{Rank: "3074", Account: "ranked"}},
		{"an account without a rank", "/closed/", "secret-2", both, observed{Rank: "2", Account: "plain"}},
		{"no account", "/public/", "", both, observed{Rank: "2"}},
		{"a version without accounts", "/closed/", "secret-1", nil, observed{Rank: "2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan observed, 8)
			var requests atomic.Int64
			a := platformWorker(t, &requests, func(w net.Conn, q *http.Request) {
				got <- observed{q.Header.Get(contract.RankHeader), q.Header.Get(contract.AccountHeader), strings.Contains(fmt.Sprint(q.Header), "secret")}
				reply(w, "200 OK", sealedHeaders, "")
			})
			e := platformNode(t)
			k := link.Candidate{Name: "0", Address: a, Slots: 2, SameSite: true, Peer: &link.Peer{}}
			e.view.Store(accountView(t, 7, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{k})}, c.accounts...))
			q := request(t, e, "GET", c.path, nil)
			q.Header.Set("Figwheel-Key", c.key)
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			if g := send(t, q); g.Status != http.StatusOK {
				t.Fatalf("got %+v", g)
			}
			if d := cmp.Diff(c.want, <-got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestNoConfigurationIsNotUnknownAccount guards against a daemon that has no version yet
// and tells a customer that its key is wrong, after which the customer does not retry.
func TestNoConfigurationIsNotUnknownAccount(t *testing.T) {
	q := request(t, platformNode(t), "GET", "/closed/", nil)
	q.Header.Set("Figwheel-Key", "secret-1")
	if d := cmp.Diff(received{Status: 503, Outcome: "not-run", Code: "FW3002"}, send(t, q)); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestKeyTakenAwayOnKeptConnection guards against a connection that stays open for a key
// that a new version no longer has, and against one that is closed for it: the customer
// may have another key.
func TestKeyTakenAwayOnKeptConnection(t *testing.T) {
	got := make(chan seen, 8)
	e := accountMesh(t, false, accountWorker(t, got), account("first", 0, "secret-1", "secret-2"))
	c, err := net.Dial("tcp", address(e.call))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	var statuses []int
	for i, k := range []string{"secret-1", "secret-2", "secret-1", "secret-2"} {
		if i == 2 {
			e.view.Store(accountView(t, 8, e.view.Load().Candidates, account("first", 0, "secret-2")))
		}
		_, _ = fmt.Fprintf(c, "POST /closed/ HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: a1\r\nFigwheel-Key: %s\r\nContent-Length: 2\r\n\r\nxx", k)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		p, err := http.ReadResponse(b, nil)
		if err != nil {
			t.Fatal(err)
		}
		statuses = append(statuses, p.StatusCode)
		if p.Close || p.Header.Get("Retry-After") != "" {
			t.Errorf("request %d: %v", i, p.Header)
		}
		if _, err := io.Copy(io.Discard, p.Body); err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
	}
	if d := cmp.Diff([]int{200, 200, 401, 200}, statuses); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// fakeQuota admits the given number of requests of each account.
type fakeQuota struct {
	left     map[string]int
	admitted map[string]int
	refunded map[string]int
}

func (f *fakeQuota) Admit(account string, _ time.Time) (time.Duration, bool) {
	if f.left[account] == 0 {
		return 1500 * time.Millisecond, false
	}
	f.left[account]--
	f.admitted[account]++
	return 0, true
}

func (f *fakeQuota) Refund(account string, _ time.Time) { f.refunded[account]++ }

// TestQuotaCountsEachRequestOnce guards against requests that are counted twice because
// they are retried, that stay counted although no worker ran them, that are counted
// without a limit to count for, and against 429 without the time to return.
func TestQuotaCountsEachRequestOnce(t *testing.T) {
	const id = "Figwheel-Attempt-Id: a1\r\n"
	run := func(c net.Conn, _ *http.Request) { reply(c, "200 OK", id+"Figwheel-Server-Seal: s\r\n", "") }
	notRun := func(c net.Conn, _ *http.Request) { reply(c, "503 Busy", id+"Figwheel-Not-Executed: 1\r\n", "") }
	lost := func(c net.Conn, _ *http.Request) { _ = c.Close() }
	type observed struct {
		Status                  int
		Code, RetryAfter        string
		Admitted, Refunded, Run int
	}
	cases := []struct {
		name, path, key, deadline string
		worker                    func(c net.Conn, q *http.Request)
		want                      observed
	}{
		{"run", "/closed/", "secret-1", "1000", run, observed{Status: 200, Admitted: 1, Run: 1}},
		{"not run", "/closed/", "secret-1", "1000", notRun, observed{Status: 503, Code: "FW3015", RetryAfter: "some", Admitted: 1, Refunded: 1, Run: 1}},
		{"may have run, twice", "/closed/", "secret-1", "1000", lost, observed{Status: 502, Code: "FW3011", Admitted: 1, Run: 1}},
		{"over the quota", "/closed/", "secret-2", "1000", run, observed{Status: 429, Code: "FW3021", RetryAfter: "1.500"}},
		{"an account without a limit", "/closed/", "secret-3", "1000", run, observed{Status: 200, Run: 1}},
		{"a public route", "/public/", "secret-2", "1000", run, observed{Status: 200, Run: 1}},
		{"an unreadable deadline", "/closed/", "secret-1", "soon", run, observed{Status: 400, Code: "FW3014"}},
		{"an unknown key", "/closed/", "secret-4", "1000", run, observed{Status: 401, Code: "FW3020"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			w := platformWorker(t, &runs, c.worker)
			e := accountMesh(t, false, w, account("first", 5, "secret-1"), account("used-up", 5, "secret-2"), account("unlimited", 0, "secret-3"))
			f := &fakeQuota{left: map[string]int{"first": 5}, admitted: map[string]int{}, refunded: map[string]int{}}
			e.call.Config.Handler.(*caller.Handler).Quota = f
			q := request(t, e, "POST", c.path, strings.NewReader("x"))
			q.Header.Set("Figwheel-Attempt-Id", "a1")
			q.Header.Set("Figwheel-Request-Deadline", c.deadline)
			q.Header.Set("Figwheel-Key", c.key)
			p, err := http.DefaultTransport.RoundTrip(q)
			if err != nil {
				t.Fatal(err)
			}
			_ = p.Body.Close()
			got := observed{p.StatusCode, p.Header.Get(contract.CodeHeader), p.Header.Get("Retry-After"), f.admitted["first"], f.refunded["first"], int(runs.Load())}
			if got.RetryAfter != "" && got.Status == 503 {
				got.RetryAfter = "some"
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}
