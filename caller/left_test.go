package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/site"
	"figwheel/upstream"
)

// startWatched is start with the listener that the daemon uses.
func startWatched(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	return startOn(t, h, func(l net.Listener) net.Listener { return l })
}

// startOn is startWatched with the connections of the listener that f returns.
func startOn(t testing.TB, h http.Handler, f func(net.Listener) net.Listener) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Listener = caller.Listener{Listener: f(s.Listener)}
	s.Config.ConnContext = caller.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// waitingMesh is a daemon at the caller and one beside the only worker, which has
// one slot. They are the same if the worker is local.
type waitingMesh struct {
	call   string // address for callers
	link   string // address for the other daemon
	worker *upstream.Worker
	paths  chan string // paths of the requests that the worker gets
	answer func()      // lets the worker answer
}

func newWaitingMesh(t testing.TB, local bool) *waitingMesh {
	t.Helper()
	return newMeshOn(t, local, startWatched, startWatched)
}

type startFunc func(t testing.TB, h http.Handler) *httptest.Server

// newMeshOn is newWaitingMesh with the servers for callers and for the other daemon
// that the functions start.
func newMeshOn(t testing.TB, local bool, startCall, startLink startFunc) *waitingMesh {
	t.Helper()
	m := &waitingMesh{paths: make(chan string, 64)}
	free := make(chan struct{})
	m.answer = sync.OnceFunc(func() { close(free) })
	w := start(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		m.paths <- r.URL.Path
		select {
		case <-free:
		case <-r.Context().Done():
		}
	}))
	text := strings.NewReplacer("500ms", "20s", "Slots: 2", "Slots: 1", "Queue: 1", "Queue: 16").Replace(base)
	f, p := site.Check(site.Bundle{Base: site.File{Name: "base.yaml", Text: text}}, time.Time{})
	if len(p) > 0 {
		t.Fatal(p)
	}
	s, err := f.Snapshot("a", 7, "c")
	if err != nil {
		t.Fatal(err)
	}
	v, _ := s.Service("s")
	n, o := newNode(t), newNode(t)
	tr := hop.NewTransport(0, time.Second, time.Minute)
	t.Cleanup(tr.CloseIdleConnections)
	k := startLink(t, &caller.LinkHandler{Daemon: o, Worker: &o.worker, Headers: contract.OwnHeaders(), Now: time.Now})
	c := link.Candidate{Name: "i", Address: address(k), Slots: 1, Local: local, SameSite: true, Peer: &link.Peer{}}
	m.worker = &o.worker
	if local {
		m.worker = &n.worker
	}
	m.worker.Set(upstream.Announcement{Service: "s", Address: address(w), State: "Ready"}, v, time.Now())
	o.view.Store(caller.NewView(s, nil))
	n.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{c})}))
	m.call = address(startCall(t, &caller.Handler{Daemon: n, Worker: &n.worker, Transport: tr, Headers: contract.OwnHeaders(), Now: time.Now, Random: &sync.Pool{New: func() any { return rand.New(rand.NewPCG(1, 1)) }}}))
	m.link = address(k)
	t.Cleanup(m.answer)
	return m
}

// send opens a connection to the address a and writes s to it until the connection
// ends.
func (m *waitingMesh) send(t testing.TB, a, s string) *net.TCPConn {
	t.Helper()
	c := dial(t, a).(*net.TCPConn)
	var g sync.WaitGroup
	g.Go(func() { _, _ = io.WriteString(c, s) })
	t.Cleanup(func() { _ = c.Close(); g.Wait() })
	return c
}

// await waits until f holds and reports whether it does in time.
func await(f func() bool) bool {
	for end := time.Now().Add(2 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// load returns the number of requests at the worker and waiting for it, also those
// that wait to send their bodies.
func (m *waitingMesh) load() int { return m.worker.Load(time.Now(), "r").InFlight }

func (m *waitingMesh) awaitLoad(n int) bool { return await(func() bool { return m.load() == n }) }

// next returns the next path that c got.
func next(t testing.TB, c <-chan string) string {
	t.Helper()
	select {
	case p := <-c:
		return p
	case <-time.After(5 * time.Second):
		t.Fatal("no request within 5 s")
		return ""
	}
}

func withLength(n int) string {
	return fmt.Sprintf("POST /left HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
}

func inChunks(n int) string {
	const chunk = 1000
	s := "POST /left HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	for ; n > 0; n -= chunk {
		k := min(n, chunk)
		s += fmt.Sprintf("%x\r\n%s\r\n", k, strings.Repeat("x", k))
	}
	return s + "0\r\n\r\n"
}

func withoutBody(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n\r\n"
}

// leave ends the connection c, by a reset if reset is set.
func leave(c *net.TCPConn, reset bool) {
	if reset {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// leavingRequests are requests whose callers leave.
var leavingRequests = []struct{ name, text string }{
	{"no body", withoutBody("/left")},
	{"small", withLength(10)},
	{"small in chunks", inChunks(10)},
	{"64 KB", withLength(64 << 10)},
	{"64 KB in chunks", inChunks(64 << 10)},
	{"600 KB", withLength(600 << 10)},
	{"600 KB in chunks", inChunks(600 << 10)},
	{"asks before it sends its body", "POST /left HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: 600000\r\n\r\n"},
	{"incomplete chunks", strings.TrimSuffix(inChunks(10), "0\r\n\r\n")},
	{"pipelined", inChunks(10) + withoutBody("/left") + withoutBody("/left")},
	{"many pipelined", withoutBody("/left") + strings.Repeat(withoutBody("/left"), 200)},
}

// TestRequestLeavesQueueWithCaller guards against requests that go on waiting and
// are sent to the worker after their callers have left.
func TestRequestLeavesQueueWithCaller(t *testing.T) {
	for _, local := range []bool{true, false} {
		for _, reset := range []bool{false, true} {
			for _, q := range leavingRequests {
				t.Run(fmt.Sprintf("local=%t/reset=%t/%s", local, reset, q.name), func(t *testing.T) {
					t.Parallel()
					m := newWaitingMesh(t, local)
					m.send(t, m.call, withoutBody("/first"))
					next(t, m.paths)
					c := m.send(t, m.call, q.text)
					if !m.awaitLoad(2) {
						t.Fatalf("load %d, want 2", m.load())
					}
					time.Sleep(20 * time.Millisecond) // so that some of the body has been sent
					leave(c, reset)
					if !m.awaitLoad(1) {
						t.Errorf("it still waits 2 s after its caller has left")
					}
					m.send(t, m.call, withoutBody("/last"))
					if !await(func() bool { return m.load() >= 2 }) {
						t.Fatalf("load %d, want 2", m.load())
					}
					m.answer()
					if p := next(t, m.paths); p != "/last" {
						t.Errorf("the worker got %s, want /last", p)
					}
				})
			}
		}
	}
}

// TestWorkerSeesCallerLeave guards against a worker that continues a request whose
// caller has left.
func TestWorkerSeesCallerLeave(t *testing.T) {
	for _, local := range []bool{true, false} {
		for _, reset := range []bool{false, true} {
			for _, q := range leavingRequests {
				t.Run(fmt.Sprintf("local=%t/reset=%t/%s", local, reset, q.name), func(t *testing.T) {
					t.Parallel()
					m := newWaitingMesh(t, local)
					c := m.send(t, m.call, q.text)
					next(t, m.paths)
					time.Sleep(20 * time.Millisecond)
					leave(c, reset)
					if !m.awaitLoad(0) {
						t.Error("it is still at the worker 2 s after its caller has left")
					}
				})
			}
		}
	}
}

// TestUploadLeavesQueueForLink guards against a large body that waits for the link
// after the daemon that sends it has given it up.
func TestUploadLeavesQueueForLink(t *testing.T) {
	const head = "POST /left HTTP/1.1\r\nHost: h.example\r\nFigwheel-Service: s\r\nFigwheel-Deadline-Ms: 60000\r\nExpect: 100-continue\r\nContent-Length: 60000\r\n\r\n"
	for name, reset := range map[string]bool{"FIN": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			m := newWaitingMesh(t, false)
			m.worker.SetLink(100_000)
			first := m.send(t, m.link, head)
			if s, err := bufio.NewReader(first).ReadString('\n'); s != "HTTP/1.1 100 Continue\r\n" {
				t.Fatalf("got %q, %v", s, err)
			}
			c := m.send(t, m.link, head)
			if !m.awaitLoad(2) {
				t.Fatalf("load %d, want 2", m.load())
			}
			leave(c, reset)
			if !m.awaitLoad(1) {
				t.Error("it still waits 2 s after its sender has left")
			}
		})
	}
}

// lateServer starts servers that notice late that the other side has left: the read
// that would return the end of the stream does not begin.
type lateServer struct {
	began chan *blindConn // connections of requests that have been read
	goOn  chan struct{}   // lets a request go on
}

func (s lateServer) start(t testing.TB, h http.Handler) *httptest.Server {
	t.Helper()
	var accepted sync.Map // by remote address
	hold := func(w http.ResponseWriter, r *http.Request) {
		c, _ := accepted.Load(r.RemoteAddr)
		s.began <- c.(*blindConn)
		<-s.goOn
		h.ServeHTTP(w, r)
	}
	return startOn(t, http.HandlerFunc(hold), func(l net.Listener) net.Listener { return blindListener{l, &accepted} })
}

type blindListener struct {
	net.Listener
	accepted *sync.Map
}

func (l blindListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := &blindConn{TCPConn: c.(*net.TCPConn), ended: make(chan struct{})}
	n.end = sync.OnceFunc(func() { close(n.ended) })
	l.accepted.Store(c.RemoteAddr().String(), n)
	return n, nil
}

// blindConn is a connection on which a read of one byte, by which net/http notices
// the end of the stream, begins only when the read is to be aborted.
type blindConn struct {
	*net.TCPConn
	ended chan struct{}
	end   func()
}

func (c *blindConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		<-c.ended
	}
	return c.TCPConn.Read(p)
}

func (c *blindConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.end()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *blindConn) Close() error {
	c.end()
	return c.TCPConn.Close()
}

// hasEnded reports whether the end of the stream has arrived, behind unread bytes too.
func (c *blindConn) hasEnded() bool {
	r, err := c.SyscallConn()
	if err != nil {
		return true
	}
	const closeWait = 8
	state := 0
	_ = r.Control(func(fd uintptr) {
		state, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	return state&0xff == closeWait
}

// TestRequestReadLateNotSentOn guards against a request that is sent on although its
// caller has left: the daemon, short of processor time, reads the request late, and
// sends it on before it reads the end of the stream.
func TestRequestReadLateNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name            string
		local, lateCall bool
	}{
		{name: "beside the worker, at the caller", local: true, lateCall: true},
		{name: "before another daemon", lateCall: true},
		{name: "beside the worker, behind another daemon"},
	} {
		for _, q := range []struct{ name, text string }{{"no body", withoutBody("/left")}, {"small", withLength(10)}} {
			t.Run(c.name+"/"+q.name, func(t *testing.T) {
				t.Parallel()
				s := lateServer{began: make(chan *blindConn, 8), goOn: make(chan struct{})}
				f := [2]startFunc{startWatched, startWatched}
				if c.lateCall {
					f[0] = s.start
				} else {
					f[1] = s.start
				}
				m := newMeshOn(t, c.local, f[0], f[1])
				goOn := sync.OnceFunc(func() { close(s.goOn) })
				t.Cleanup(goOn)
				k := m.send(t, m.call, q.text)
				l := <-s.began
				leave(k, false)
				if !await(l.hasEnded) {
					t.Fatal("the end of the stream did not arrive")
				}
				goOn()
				m.send(t, m.call, withoutBody("/last"))
				m.answer()
				if p := next(t, m.paths); p != "/last" {
					t.Errorf("the worker got %s, want /last", p)
				}
			})
		}
	}
}

// TestBodyAskedForLateNotSent guards against a large body that is sent to another daemon, and to its worker, when that asks for it after the caller has left: the daemon, short of processor time, has not read the end of the stream.
func TestBodyAskedForLateNotSent(t *testing.T) {
	s := lateServer{began: make(chan *blindConn, 8), goOn: make(chan struct{})}
	close(s.goOn)
	m := newMeshOn(t, false, s.start, startWatched)
	m.worker.SetLink(100_000)
	first := m.send(t, m.link, "POST /first HTTP/1.1\r\nHost: h.example\r\nFigwheel-Service: s\r\nFigwheel-Deadline-Ms: 60000\r\nExpect: 100-continue\r\nContent-Length: 60000\r\n\r\n")
	if s, err := bufio.NewReader(first).ReadString('\n'); s != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q, %v", s, err)
	}
	c := m.send(t, m.call, withLength(20<<10))
	l := <-s.began
	if !m.awaitLoad(2) {
		t.Fatalf("load %d, want 2", m.load())
	}
	leave(c, false)
	if !await(l.hasEnded) {
		t.Fatal("the end of the stream did not arrive")
	}
	leave(first, false)
	m.answer()
	if !m.awaitLoad(0) {
		t.Fatalf("load %d, want 0", m.load())
	}
	m.send(t, m.call, withoutBody("/last"))
	if p := next(t, m.paths); p != "/last" {
		t.Errorf("the worker got %s, want /last", p)
	}
}

// pipeListener is a net.Listener of connections without buffers.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestLookaheadIsBounded guards against memory that grows with the bytes that callers
// send ahead, on one connection and on all.
func TestLookaheadIsBounded(t *testing.T) {
	const (
		callers  = 24
		ahead    = 3 << 20 // bytes that each caller would send
		eachMax  = 1<<20 + 64<<10
		totalMax = 16<<20 + callers*64<<10
	)
	for _, c := range []struct {
		callers, min, max int
	}{{1, 1 << 20, eachMax}, {callers, 16 << 20, totalMax}} {
		t.Run(fmt.Sprint(c.callers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := make(pipeListener)
				s := &http.Server{
					Handler:     http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
					ConnContext: caller.ConnContext,
				}
				var g sync.WaitGroup
				g.Go(func() { _ = s.Serve(caller.Listener{Listener: l}) })
				var sent atomic.Int64
				var open []net.Conn
				for range c.callers {
					a, b := net.Pipe()
					open = append(open, a)
					l <- b
					g.Go(func() {
						_, _ = io.WriteString(a, withoutBody("/"))
						block := make([]byte, 1<<10)
						for range ahead / len(block) {
							n, err := a.Write(block)
							sent.Add(int64(n))
							if err != nil {
								return
							}
						}
					})
				}
				synctest.Wait()
				if n := int(sent.Load()); n < c.min || n > c.max {
					t.Errorf("%d bytes were read ahead, want %d to %d", n, c.min, c.max)
				}
				for _, a := range open {
					_ = a.Close()
				}
				close(l)
				_ = s.Close()
				g.Wait()
			})
		})
	}
}

// TestListenerDropsConnectionsOfCallersThatHaveLeft guards against a daemon that is behind and reads the requests of callers that have left before those of callers that wait.
func TestListenerDropsConnectionsOfCallersThatHaveLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dial := func(linger int) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = c.(*net.TCPConn).SetLinger(linger)
		return c
	}
	_ = dial(-1).Close()
	_ = dial(0).Close() // by reset
	waits := dial(-1)
	defer func() { _ = waits.Close() }()
	got, err := caller.Listener{Listener: l}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Close() }()
	if g, w := got.RemoteAddr().String(), waits.LocalAddr().String(); g != w {
		t.Errorf("accepted the connection of %s, want that of %s, which waits", g, w)
	}
}

// endlessListener always has a connection to accept.
type endlessListener struct{ net.Listener }

// Accept implements net.Listener.
func (endlessListener) Accept() (net.Conn, error) { return struct{ net.Conn }{}, nil }

// TestAcceptRunsAfterReadyGoroutines guards against a daemon that accepts connections without end while answers and control traffic wait for the processor.
func TestAcceptRunsAfterReadyGoroutines(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const accepts, readyMax = 1000, 10
	l := caller.Listener{Listener: endlessListener{}}
	var most int64
	var ready atomic.Int64
	for range accepts {
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
		most = max(most, ready.Add(1))
		go ready.Add(-1)
	}
	if most > readyMax {
		t.Errorf("%d goroutines were ready when a connection was accepted, want at most %d", most, readyMax)
	}
}
