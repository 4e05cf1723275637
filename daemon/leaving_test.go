package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"figwheel/instance"
)

// leave sends the DELETE of the worker with the id to the first daemon.
func (f *platformFleet) leave(id string) {
	f.t.Helper()
	q, err := http.NewRequestWithContext(f.t.Context(), http.MethodDelete, "http://"+f.daemons[0].Settings().UpstreamAddress+"/api/instances/"+id, http.NoBody)
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = p.Body.Close()
	if p.StatusCode != http.StatusOK {
		f.t.Errorf("the DELETE is answered with %d", p.StatusCode)
	}
}

// worker returns the id, the address and the start of the worker of the first daemon in Unix
// milliseconds.
func (f *platformFleet) worker() (id, address string, born int64) {
	f.ask(0, func(k *control) bool {
		id, address, born = k.announcement.ID, k.announcement.Address, k.announcement.Born
		return true
	})
	return id, address, born
}

// TestLateLeavingLeavesWorkerInUse guards against a running worker that is out of use for good because the leaving of an earlier start under its id arrives late, or is announced by another writer.
func TestLateLeavingLeavesWorkerInUse(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(f *platformFleet, id, address string, born int64){
		"a DELETE": func(f *platformFleet, id, _ string, _ int64) { f.leave(id) },
		"two DELETEs": func(f *platformFleet, id, _ string, _ int64) {
			f.leave(id)
			f.leave(id)
		},
		"a drain without a start": func(f *platformFleet, id, address string, _ int64) {
			f.checkIn(id, fmt.Sprintf(`{"address":%q,"server_info":{"service":"s","slot_count":4},"status":{"state":"draining","sequence":9000}}`, address))
		},
		"a drain of a later start": func(f *platformFleet, id, address string, born int64) {
			f.checkIn(id, fmt.Sprintf(`{"address":%q,"born":%d,"server_info":{"service":"s","slot_count":4},"status":{"state":"draining","sequence":1}}`, address, born+1000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlatformFleet(t, 1)
			id, address, born := f.worker()
			leave(f, id, address, born)
			if f.ask(0, func(k *control) bool { return k.table.Self().State == instance.Ready }) {
				t.Error("the leaving has no effect")
			}
			f.wait("the worker is in use again", func() bool {
				return f.ask(0, func(k *control) bool {
					return k.announcement.ID == id && k.table.Self().State == instance.Ready
				})
			})
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if s, c := f.send(0, "/x"); s != http.StatusOK {
					t.Fatalf("a request ended with %d %s", s, c)
				}
			}
		})
	}
}

// TestCheckInAfterLeaving guards against a worker that has left and is in use again because of a check-in that is late or of another writer, also in the name of a later start. It goes on serving, and its health check answers that it is not ready.
func TestCheckInAfterLeaving(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		born int64 // after that of the worker
		body string
	}{
		{"late", 0, `{"address":"ADDRESS","born":BORN,"server_info":{"service":"s","version":"v1","zone":"z","slot_count":4},"status":{"state":"ready","sequence":9000,"cold_left_s":0}}`},
		{"of a later start", 1000, `{"address":"ADDRESS","born":BORN,"server_info":{"service":"s","version":"v1","zone":"z","slot_count":4},"status":{"state":"ready","sequence":1,"cold_left_s":0}}`},
		{"with fields missing", 1000, `{"address":"ADDRESS","born":BORN,"server_info":{"service":"s","slot_count":4},"status":{"state":"ready","sequence":1}}`},
		{"without a start", 0, `{"address":"ADDRESS","server_info":{"service":"s","slot_count":4},"status":{"state":"ready","sequence":9000}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newPlatformFleet(t, 1)
			id, address, born := f.worker()
			f.workers[0].Drain()
			f.leave(id)
			body := strings.NewReplacer("ADDRESS", address, "BORN", fmt.Sprint(born+c.born)).Replace(c.body)
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				f.checkIn(id, body)
				if f.ask(0, func(k *control) bool { return k.table.Self().State == instance.Ready }) {
					t.Fatal("the worker is in use again")
				}
			}
		})
	}
}
