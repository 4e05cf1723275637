package caller_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"figwheel/caller"
	"figwheel/link"
	"figwheel/site"
	"figwheel/upstream"
)

const (
	benchCallsPerSecond = 1000
	benchTime           = 4 * time.Second
	benchClients        = 16
)

// sendAtRate sends calls at a constant rate, whether or not earlier calls have
// been answered, and returns a histogram of their times in microseconds. The time
// of a call that is sent late because an earlier one took long counts from when
// it was due.
func sendAtRate(b *testing.B, url string) *hdrhistogram.Histogram {
	type result struct{ h *hdrhistogram.Histogram }
	done := make(chan result)
	start := time.Now().Add(10 * time.Millisecond)
	for i := range benchClients {
		go func() {
			c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer c.CloseIdleConnections()
			h := hdrhistogram.New(1, 10_000_000, 3)
			interval := time.Second * benchClients / benchCallsPerSecond
			for due := start.Add(interval * time.Duration(i) / benchClients); time.Since(start) < benchTime; due = due.Add(interval) {
				from := due
				if w := time.Until(due); w > 0 {
					time.Sleep(w)
					from = time.Now() // the delay of the timer is not part of the call
				}
				if err := get(c, url); err != nil {
					b.Error(err)
					break
				}
				if due.Sub(start) > benchTime/4 { // the first quarter warms up
					_ = h.RecordValue(time.Since(from).Microseconds())
				}
			}
			done <- result{h}
		}()
	}
	all := hdrhistogram.New(1, 10_000_000, 3)
	for range benchClients {
		all.Merge((<-done).h)
	}
	return all
}

func get(c *http.Client, url string) error {
	q, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	q.Host = "h.example"
	p, err := c.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", p.Status)
	}
	_, err = io.Copy(io.Discard, p.Body)
	return err
}

// BenchmarkCall measures the time that daemons add to a call, compared with calls
// to the worker in the same run: for a call through the local daemon alone, and
// for one that is forwarded to a second daemon.
func BenchmarkCall(b *testing.B) {
	answer := make([]byte, 600)
	w := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
	b.Cleanup(w.Close)
	for _, path := range []string{"local", "two-daemons"} {
		b.Run("path="+path, func(b *testing.B) {
			e, n := mesh(b, address(w))
			if path == "local" {
				v := e.View()
				s, _ := v.Snapshot.Service("s")
				e.worker.Set(upstream.Announcement{Service: "s", Address: address(w), State: "Ready"}, s, time.Now())
				l := []link.Candidate{{Name: "self", Slots: 2, Local: true, SameSite: true, Peer: &link.Peer{}}}
				e.view.Store(caller.NewView(v.Snapshot, map[string]link.Candidates{"s": link.NewCandidates(l)}))
			}
			wide := &site.Service{Slots: 64, Connections: 128, Queue: 64}
			for _, k := range append(n, e) {
				if k == e && path != "local" {
					continue
				}
				k.worker.Set(upstream.Announcement{Service: "s", Address: address(w), State: "Ready"}, wide, time.Now())
			}
			for range b.N {
				d, v := sendAtRate(b, w.URL+"/"), sendAtRate(b, e.call.URL+"/")
				b.ReportMetric(float64(d.ValueAtQuantile(50)), "direct-p50-us")
				b.ReportMetric(float64(d.ValueAtQuantile(99)), "direct-p99-us")
				b.ReportMetric(float64(v.ValueAtQuantile(50)), "via-p50-us")
				b.ReportMetric(float64(v.ValueAtQuantile(99)), "via-p99-us")
				b.ReportMetric(float64(v.ValueAtQuantile(50)-d.ValueAtQuantile(50)), "added-p50-us")
				b.ReportMetric(float64(v.ValueAtQuantile(99)-d.ValueAtQuantile(99)), "added-p99-us")
			}
		})
	}
}

// BenchmarkCost measures the processor time and the allocations for each of the
// two daemons that a call passes through, without those of worker and caller.
func BenchmarkCost(b *testing.B) {
	w := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	b.Cleanup(w.Close)
	e, _ := mesh(b, address(w))
	cost := func(url string) (float64, float64) {
		c := &http.Client{Transport: &http.Transport{DisableCompression: true}}
		defer c.CloseIdleConnections()
		const calls = 3000
		var m, n runtime.MemStats
		runtime.ReadMemStats(&m)
		t := processorTime()
		for range calls {
			if err := get(c, url); err != nil {
				b.Fatal(err)
			}
		}
		u := processorTime() - t
		runtime.ReadMemStats(&n)
		return float64(u.Microseconds()) / calls, float64(n.Mallocs-m.Mallocs) / calls
	}
	for range b.N {
		dt, da := cost(w.URL + "/")
		vt, va := cost(e.call.URL + "/")
		b.ReportMetric((vt-dt)/2, "core-us/daemon")
		b.ReportMetric((va-da)/2, "allocs/daemon")
	}
}

// BenchmarkChoice measures one choice of an instance in a mesh of the target
// size: 810 instances of 140 services, so about 6 for each service, two of
// which are at the same site.
func BenchmarkChoice(b *testing.B) {
	m := make(map[string]link.Candidates)
	now := time.Now()
	for s := range 140 {
		var l []link.Candidate
		for i := range 6 {
			p := &link.Peer{}
			for range i {
				p.Begin(now)
			}
			l = append(l, link.Candidate{Name: fmt.Sprintf("i-%d-%d", s, i), Slots: 9, SameSite: i < 2, Peer: p})
		}
		m[fmt.Sprintf("s-%d", s)] = link.NewCandidates(l)
	}
	r := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		if m["s-77"].Choose(now, "k", r, nil, link.OtherSiteCost) == nil {
			b.Fatal("no choice")
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkUnpipelined measures what it costs a kept connection that its requests may be
// served ahead, if its caller waits for each answer.
func BenchmarkUnpipelined(b *testing.B) {
	for _, depth := range []int{0, 8} {
		b.Run(fmt.Sprintf("depth=%d", depth), func(b *testing.B) {
			conn := serveAhead(b, depth, func(http.ResponseWriter, *http.Request) {})
			sent := []byte("GET /catalogue/shelf/7 HTTP/1.1\r\nHost: h.example\r\nAccept: */*\r\nUser-Agent: bench\r\n" +
				"Figwheel-Attempt-Id: 9c41d07be2a35f68\r\nFigwheel-Request-Deadline: 800\r\nFigwheel-Key: 6f1d3ab2c4\r\n\r\n")
			answer := make([]byte, 4096)
			_ = conn.SetDeadline(time.Time{})
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(sent); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
