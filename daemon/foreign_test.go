package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"figwheel/instance"
	"figwheel/result"
	"figwheel/upstream"
)

// nested returns a JSON value of arrays in arrays, n levels deep.
func nested(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }

// checkIn sends a check-in to the first daemon.
func (f *platformFleet) checkIn(id, body string) {
	f.t.Helper()
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodPut, "http://"+f.daemons[0].Settings().UpstreamAddress+"/api/instances/"+id, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = p.Body.Close()
}

// TestCheckInsOfOtherWriters guards against a daemon that ends, loses its worker or sends requests elsewhere because of a check-in that another writer has sent. Each arrives between two check-ins of the worker, and again as the first one after a restart of the daemon. The worker must stay in use, or be found, and go on being acknowledged.
func TestCheckInsOfOtherWriters(t *testing.T) {
	t.Parallel()
	const good = `{"address":"ADDRESS","born":BORN,"server_info":{"service":"s","version":"v1","zone":"z","slot_count":4},"status":{"state":"ready","sequence":9,"cold_left_s":0}}`
	with := func(from, to string) string {
		if !strings.Contains(good, from) {
			t.Fatal(from)
		}
		return strings.Replace(good, from, to, 1)
	}
	for _, c := range []struct {
		name string
		id   string // WORKER stands for that of the worker
		body string
	}{
		{"nested", "i-x", nested(200_000)},
		{"an unknown field that is nested", "i-x", with(`{"address"`, `{"more":`+nested(7000)+`,"address"`)},
		{"an unknown field that is nested, of the worker", "WORKER", with(`{"address"`, `{"more":`+nested(7000)+`,"address"`)},
		{"slots beyond any integer", "i-x", with(`"slot_count":4`, `"slot_count":1e300`)},
		{"slots beyond 32 bits", "WORKER", with(`"slot_count":4`, `"slot_count":4294967296`)},
		{"slots of the largest integer", "i-x", with(`"slot_count":4`, `"slot_count":9223372036854775807`)},
		{"a sequence beyond any integer", "WORKER", with(`"sequence":9`, `"sequence":1e30`)},
		{"the largest sequence", "WORKER", with(`"sequence":9`, `"sequence":18446744073709551615`)},
		{"a start in the far future", "i-x", with(`BORN`, `9223372036854775807`)},
		{"a start of the worker in the far future", "WORKER", with(`BORN`, `9223372036854775807`)},
		{"a start a minute ahead", "i-x", with(`BORN`, `AHEAD`)},
		{"a start beyond any integer", "WORKER", with(`BORN`, `1e30`)},
		{"a time beyond any duration", "i-x", with(`"cold_left_s":0`, `"cold_left_s":1e300`)},
		{"a port out of range", "i-x", with(`ADDRESS`, `127.0.0.1:99999`)},
		{"a port out of range, of the worker", "WORKER", with(`ADDRESS`, `127.0.0.1:99999`)},
		{"a port below 0", "i-x", with(`ADDRESS`, `127.0.0.1:-1`)},
		{"port 0", "WORKER", with(`ADDRESS`, `127.0.0.1:0`)},
		{"a named port", "i-x", with(`ADDRESS`, `127.0.0.1:http`)},
		{"another address", "WORKER", with(`ADDRESS`, `127.0.0.1:9`)},
		{"no address", "WORKER", with(`"address":"ADDRESS",`, ``)},
		{"an unknown service", "i-x", with(`"service":"s"`, `"service":"unknown"`)},
		{"an unknown service, of the worker", "WORKER", with(`"service":"s"`, `"service":"unknown"`)},
		{"no service", "WORKER", with(`"service":"s",`, ``)},
		{"an unknown state", "WORKER", with(`"ready"`, `"asleep"`)},
		{"a state of another type", "WORKER", with(`"ready"`, `7`)},
		{"another worker of the service", "i-x", good},
		{"another worker that leaves", "i-x", with(`"ready"`, `"draining"`)},
		{"a long id", strings.Repeat("x", 5000), good},
		{"bytes that are no text", "i-x", "\x00\xff\xfe{"},
		{"nothing", "i-x", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPlatformFleet(t, 1)
			var id string
			var born int64
			f.ask(0, func(k *control) bool {
				id, born = k.announcement.ID, k.announcement.Born
				return true
			})
			r := strings.NewReplacer("ADDRESS", f.daemons[0].Settings().WorkerAddress, "BORN", fmt.Sprint(born), "AHEAD", fmt.Sprint(born+60_000))
			body, foreign := r.Replace(c.body), strings.Replace(c.id, "WORKER", id, 1)
			stays := func(when string) {
				f.t.Helper()
				var first uint64
				f.wait("the worker is in use "+when, func() bool {
					return f.ask(0, func(k *control) bool {
						first = k.announcement.Sequence
						return k.announcement.ID == id && k.table.Self().State == instance.Ready
					})
				})
				var state instance.State
				f.wait("a later check-in of the worker is applied "+when, func() bool {
					return f.ask(0, func(k *control) bool {
						state = k.table.Self().State
						return state != instance.Ready || k.announcement.ID == id && k.announcement.Sequence > first && k.announcement.Sequence < 1000
					})
				})
				if state != instance.Ready {
					t.Errorf("state %s %s", state, when)
				}
				if s, code := f.send(0, "/x"); s != http.StatusOK {
					t.Errorf("a request ended with %d %s %s", s, code, when)
				}
			}
			f.checkIn(foreign, body)
			stays("after the check-in of another writer")
			f.kill(0)
			f.start(0, f.daemons[0].Settings())
			f.checkIn(foreign, body)
			stays("after a restart")
		})
	}
}

// TestLaterStartWithLowerTime guards against a worker that is refused for good because the time of day was set back before it started, and against an earlier one that displaces it by a late announcement.
func TestLaterStartWithLowerTime(t *testing.T) {
	t.Parallel()
	ask, asked := answers(t, answer{id: "w-1"}, answer{id: "w-2"})
	f := newWorkerFleet(t, ask)
	f.putService()
	f.addDaemon()
	f.waitAnswered(asked, 1)
	first := upstream.Announcement{ID: "w-1", Service: "s", Address: "127.0.0.1:1", State: instance.Ready.String(), Slots: 7, Sequence: 9, Born: 500}
	second := first
	second.ID, second.Born, second.Sequence = "w-2", 100, 1
	for _, a := range []upstream.Announcement{first, second} {
		_ = f.daemons[0].takeAnnouncement(a, time.Now())
		f.wait(a.ID+" is in use", func() bool {
			return f.ask(0, func(k *control) bool {
				return k.announcement == a && k.table.Self().State == instance.Ready
			})
		})
	}
	first.Sequence++
	if err := f.daemons[0].takeAnnouncement(first, time.Now()); result.CodeOf(err) != result.OldAnnouncement {
		t.Errorf("a late announcement of the first: %v, want %s", err, result.OldAnnouncement)
	}
}
