package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestPipelinedAnswersStayWholeAndInOrder guards against answers that are mixed, out of
// order or cut and look complete, and against goroutines that outlive their connection,
// over random handlers: quick and slow, short and long, with and without a length, that
// panic, and callers that send in pieces, do not read for a while or leave.
func TestPipelinedAnswersStayWholeAndInOrder(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Run("load", func(t *testing.T) {
		var running atomic.Int64
		conn := serveAhead(t, 4, func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			defer running.Add(-1)
			var id, ms, kb, mode int
			_, _ = fmt.Sscanf(r.URL.Path, "/%d/%d/%d/%d", &id, &ms, &kb, &mode)
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(time.Duration(ms) * time.Millisecond):
			}
			if mode == 1 {
				w.Header().Set("Content-Length", fmt.Sprint(kb<<10))
			}
			for i := range kb {
				if mode == 2 && i == kb/2 {
					panic(http.ErrAbortHandler)
				}
				if _, err := io.WriteString(w, strings.Repeat(fmt.Sprintf("%08d", id), 128)); err != nil {
					panic(http.ErrAbortHandler)
				}
			}
		})
		address := conn.RemoteAddr().String()
		var g sync.WaitGroup
		for seed := range uint64(60) {
			g.Go(func() { sendPipelined(t, address, rand.New(rand.NewPCG(seed, 1))) })
		}
		g.Wait()
		for range 200 {
			if running.Load() == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if n := running.Load(); n != 0 {
			t.Errorf("%d handlers run after their callers have left", n)
		}
	})
	n := runtime.NumGoroutine()
	for range 200 {
		if n <= before {
			break
		}
		time.Sleep(10 * time.Millisecond)
		n = runtime.NumGoroutine()
	}
	if n > before {
		t.Errorf("%d goroutines run, %d before", n, before)
	}
}

// sendPipelined sends random requests on one connection and checks the answers.
func sendPipelined(t *testing.T, address string, n *rand.Rand) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	type request struct{ kb, mode int }
	l := make([]request, 1+n.IntN(20))
	var sent strings.Builder
	for i := range l {
		l[i] = request{n.IntN(4) * n.IntN(60), n.IntN(2)}
		if n.IntN(40) == 0 {
			l[i].mode = 2
		}
		p := fmt.Sprintf("/%d/%d/%d/%d", i, n.IntN(2)*n.IntN(20), l[i].kb, l[i].mode)
		if n.IntN(8) == 0 {
			p = strings.Replace(p, "/", "/0", 1) // another head length
		}
		sent.WriteString(headOf(p))
	}
	leave := n.IntN(5) == 0
	pieces := n.IntN(2) == 0
	seed := n.Uint64()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k := rand.New(rand.NewPCG(seed, 2))
		s := sent.String()
		for s != "" {
			m := len(s)
			if pieces {
				m = min(m, 1+k.IntN(90))
				time.Sleep(time.Duration(k.IntN(2)) * time.Millisecond)
			}
			if _, err := io.WriteString(conn, s[:m]); err != nil {
				return
			}
			s = s[m:]
		}
	}()
	defer func() { <-done }()
	defer func() { _ = conn.Close() }()
	b := bufio.NewReader(conn)
	for i, q := range l {
		if leave && n.IntN(3) == 0 {
			return
		}
		time.Sleep(time.Duration(n.IntN(4)*n.IntN(10)) * time.Millisecond)
		p, err := http.ReadResponse(b, nil)
		if err != nil {
			if q.mode != 2 {
				t.Errorf("answer %d: %v", i, err)
			}
			return
		}
		d, err := io.ReadAll(p.Body)
		_ = p.Body.Close()
		if q.mode == 2 {
			if err == nil && q.kb > 0 {
				t.Errorf("answer %d: complete with %d bytes, want it to break off", i, len(d))
			}
			if q.kb > 0 {
				return
			}
		}
		if want := strings.Repeat(fmt.Sprintf("%08d", i), 128*q.kb); err != nil || string(d) != want {
			t.Errorf("answer %d: %d bytes and %v, want %d bytes of it", i, len(d), err, len(want))
			return
		}
	}
}

// TestAnswersAheadOfAllConnectionsAreBounded guards against a daemon that runs out of
// memory because many callers send many requests whose answers wait for a slow first one.
func TestAnswersAheadOfAllConnectionsAreBounded(t *testing.T) {
	const connections, depth, size, bytesMax = 80, 8, 60 << 10, 18 << 20
	var kept atomic.Int64
	release := make(chan struct{})
	conn := serveAhead(t, depth, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-release
			return
		}
		for range size >> 10 {
			if _, err := w.Write(make([]byte, 1<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
			kept.Add(1 << 10)
		}
	})
	l := []net.Conn{conn}
	for len(l) < connections {
		c, err := net.Dial("tcp", conn.RemoteAddr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		l = append(l, c)
	}
	for _, c := range l {
		_, _ = io.WriteString(c, headOf("/first")+strings.Repeat(headOf("/next"), depth-1))
	}
	for n := int64(-1); n != kept.Load(); time.Sleep(100 * time.Millisecond) {
		n = kept.Load()
	}
	if n := kept.Load(); n > bytesMax {
		t.Errorf("%d bytes of answers are kept, want at most %d", n, bytesMax)
	}
	close(release)
	for _, c := range l {
		b := bufio.NewReader(c)
		for i := range depth {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				t.Fatalf("answer %d: %v", i, err)
			}
			n, err := io.Copy(io.Discard, p.Body)
			_ = p.Body.Close()
			if err != nil || i > 0 && n != size {
				t.Errorf("answer %d: %d bytes and %v, want %d", i, n, err, size)
			}
		}
	}
}
