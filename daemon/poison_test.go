package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/poison"
	"figwheel/result"
	"figwheel/upstream/upstreamtest"
)

// TestCrashingRequestRejectedByAllDaemons guards against a request that crashes
// one worker after the other. It sends such a request to all daemons repeatedly.
// After poison.RefuseLevel crashes every daemon must refuse it with its own code
// and still answer other requests.
func TestCrashingRequestRejectedByAllDaemons(t *testing.T) {
	t.Parallel()
	const path = "/poison"
	d := newDrainFleet(t, func(k *upstreamtest.Worker) {
		k.CrashPath, k.DownTime = path, 200*time.Millisecond
	})
	call := func(i int, path string) (int, string) {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+d.daemons[i].Settings().CallAddress+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		q.Host = "h.example"
		q.Header.Set(upstreamtest.RequestHeader, path)
		p, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = p.Body.Close()
		return p.StatusCode, p.Header.Get(contract.CodeHeader)
	}
	ready := func() {
		d.wait("three workers are ready everywhere", func() bool {
			return d.all(func(c *control) bool { return len(c.readyInstances()) == 3 })
		})
	}
	for range 4 {
		for i := range d.daemons {
			call(i, path)
			ready()
		}
	}
	runs := 0
	for _, k := range d.workers {
		runs += k.Runs()[path]
	}
	if runs > poison.RefuseLevel {
		t.Errorf("the request reached %d workers, want at most %d", runs, poison.RefuseLevel)
	}
	for i := range d.daemons {
		if s, c := call(i, path); s != http.StatusServiceUnavailable || c != result.CrashesWorkers.String() {
			t.Errorf("daemon %d answers %d %s", i, s, c)
		}
		if s, c := call(i, "/other"); s != http.StatusOK {
			t.Errorf("daemon %d answers another request with %d %s", i, s, c)
		}
	}
}

// TestSuspectClearedWhenWorkerAnswers guards against requests that stay suspected
// although a worker answers them. After one answer no daemon may suspect the
// request any more.
func TestSuspectClearedWhenWorkerAnswers(t *testing.T) {
	t.Parallel()
	m := newDrainFleet(t, nil)
	q := poison.Request{Method: http.MethodGet, Host: "h.example", URI: "/innocent"}
	_ = m.daemons[0].do(context.Background(), func(c *control) {
		c.mergeSuspects([]poison.Suspect{{Request: q.Fingerprint(), Level: poison.RefuseLevel - 1}}, "test")
	})
	level := func(want int) {
		m.wait(fmt.Sprintf("all have it at level %d", want), func() bool {
			return m.all(func(c *control) bool { return c.suspects.Level(q.Fingerprint()) == want })
		})
	}
	level(poison.RefuseLevel - 1)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+m.daemons[1].Settings().CallAddress+q.URI, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = q.Host
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = p.Body.Close()
	level(0)
}
