package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/contract"
	"figwheel/link"
	"figwheel/site"
	"figwheel/upstream"
)

const (
	changeSeed      = 1
	changeTime      = 2 * time.Second
	changeInterval  = 3 * time.Millisecond // between versions of the configuration
	changeCallers   = 16
	changeUploaders = 4 // of these, callers with large bodies
	changeSlots     = 3 // of each worker
)

// changingMesh is an entry node with a worker of its own and three further nodes,
// whose configuration changes while callers use it.
type changingMesh struct {
	entry *node
	nodes []*node // each with a worker
	names []string
	kinds []string // services of the workers
	works []string // addresses of the workers
	peers []*link.Peer
}

// changingWorker returns the address of a worker. Above its slots it rejects
// requests or, with resets, resets their connections, before it has read their
// bodies; with early, it answers before it has read them.
func changingWorker(t testing.TB, early, resets bool) string {
	var running atomic.Int64
	return listen(t, func(c net.Conn) {
		b := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			id := "Figwheel-Attempt-Id: " + q.Header.Get("Figwheel-Attempt-Id") + "\r\n"
			full := running.Add(1) > changeSlots-1
			switch {
			case full && resets:
				running.Add(-1)
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			case full:
				reply(c, "503 Service Unavailable", id+"Figwheel-Not-Executed: 1\r\n", "full")
				_, err = io.Copy(io.Discard, q.Body)
			case early:
				reply(c, "200 OK", id+"Figwheel-Server-Seal: s\r\n", "early")
				_, err = io.Copy(io.Discard, q.Body)
				time.Sleep(time.Millisecond)
			default:
				if _, err = io.Copy(io.Discard, q.Body); err == nil {
					time.Sleep(time.Millisecond)
					reply(c, "200 OK", id+"Figwheel-Server-Seal: s\r\n", "whole")
				}
			}
			if !full || !resets {
				running.Add(-1)
			}
			if err != nil {
				return
			}
		}
	})
}

func newChangingMesh(t testing.TB) *changingMesh {
	m := &changingMesh{entry: platformNode(t), kinds: []string{"a", "a", "b", "b"}}
	for i := range m.kinds {
		n := m.entry
		if i > 0 {
			n = platformNode(t)
		}
		m.nodes = append(m.nodes, n)
		m.names = append(m.names, fmt.Sprint(i))
		m.works = append(m.works, changingWorker(t, i == 1, i == 2))
		m.peers = append(m.peers, &link.Peer{})
	}
	return m
}

// change puts a new version of the configuration into force.
func (m *changingMesh) change(t testing.TB, number uint64, r *rand.Rand) {
	pick := func(l ...int) int { return l[r.IntN(len(l))] }
	c := site.Table{Number: number, Limits: site.Limits{BodyBytes: int64(pick(0, 4<<20, 300<<10))}}
	for _, s := range []string{"a", "b"} {
		if r.IntN(8) > 0 {
			c.Services = append(c.Services, site.Service{Name: s, Connections: pick(0, 4, 8), Slots: pick(0, 2, 4), Queue: pick(0, 3)})
		}
	}
	for i, p := range []string{"/once/", "/twice/", "/more/"} {
		v := site.Route{Name: p, Host: "h.example", PathPrefix: p, Timeout: time.Duration(pick(1, 2)) * time.Second, Attempts: 2, Repeat: site.RepeatForbidden}
		if i == 1 {
			v.Repeat = site.RepeatAllowed
		}
		switch r.IntN(4) {
		case 0:
			v.Targets = []site.Split{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}
		case 1:
			v.Targets = []site.Split{{Service: "b", Weight: 1}}
		default:
			v.Targets = []site.Split{{Service: "a", Weight: 1}}
		}
		if r.IntN(6) > 0 {
			c.Routes = append(c.Routes, v)
		}
	}
	c, _ = c.CloseFaulty()
	s, err := c.Snapshot("a", number, "c")
	if err != nil {
		t.Error(err)
		return
	}
	l := make(map[string][]link.Candidate)
	for i, n := range m.nodes {
		k := m.kinds[i]
		l[k] = append(l[k], link.Candidate{Name: m.names[i], Address: address(n.link), Slots: changeSlots, SameSite: i < 2, Local: i == 0, Peer: m.peers[i]})
		v, _ := s.Service(k)
		n.worker.Set(upstream.Announcement{Service: k, Address: m.works[i], State: "Ready", Slots: changeSlots, ID: "i-" + m.names[i]}, v, time.Now())
	}
	d := make(map[string]link.Candidates)
	for k, v := range l {
		d[k] = link.NewCandidates(v)
	}
	for _, n := range m.nodes {
		v := caller.NewView(s, d)
		v.Retries = contract.RetryLimits{Percent: 100, Burst: 10}
		n.view.Store(v)
	}
}

// requestBytes returns a request with a body of n bytes.
func requestBytes(path, id string, n int, chunked bool) []byte {
	const chunk = 16 << 10
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: h.example\r\nFigwheel-Attempt-Id: %s\r\n", path, id)
	if !chunked {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", n)
		b.Write(bytes.Repeat([]byte("x"), n))
		return b.Bytes()
	}
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for ; n > 0; n -= min(n, chunk) {
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", min(n, chunk), bytes.Repeat([]byte("x"), min(n, chunk)))
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// TestEachRequestAnsweredWhileConfigurationChanges guards against connections that end under a request beside a change of the configuration.
func TestEachRequestAnsweredWhileConfigurationChanges(t *testing.T) {
	m := newChangingMesh(t)
	x, stop := context.WithTimeout(t.Context(), changeTime)
	defer stop()
	r := rand.New(rand.NewPCG(changeSeed, 0))
	m.change(t, 1, r)
	var g sync.WaitGroup
	g.Go(func() {
		k := time.NewTicker(changeInterval)
		defer k.Stop()
		for n := uint64(2); x.Err() == nil; n++ {
			<-k.C
			m.change(t, n, r)
		}
	})
	var mu sync.Mutex
	got := make(map[string]int)
	for i := range changeCallers {
		g.Go(func() {
			c := changingCaller{t: t, name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(changeSeed, uint64(i+1))), uploads: i < changeUploaders, got: make(map[string]int)}
			for x.Err() == nil {
				c.useConnection(x, address(m.entry.call))
			}
			mu.Lock()
			defer mu.Unlock()
			for s, n := range c.got {
				got[s] += n
			}
		})
	}
	g.Wait()
	t.Log(got)
}

// changingCaller is a caller of a changingMesh.
type changingCaller struct {
	t       testing.TB
	name    string
	random  *rand.Rand
	uploads bool           // whether it sends large bodies
	sent    int            // number of requests
	got     map[string]int // answers by status and code
}

// useConnection sends requests on one connection, each as soon as the one before it is
// answered or up to three at once, until x ends or an answer closes the connection.
func (k *changingCaller) useConnection(x context.Context, a string) {
	c, err := net.Dial("tcp", a)
	if err != nil {
		k.t.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(changeTime + 10*time.Second))
	b := bufio.NewReader(c)
	for closes := false; !closes && x.Err() == nil; {
		sizes := []int{0, 10, 2 << 10}
		if k.uploads {
			sizes = []int{2 << 10, 100 << 10, 600 << 10}
		}
		n, batch := sizes[k.random.IntN(len(sizes))], 1
		if n <= 10 {
			batch += k.random.IntN(3)
		}
		var ids []string
		var sent []byte
		for range batch {
			id := fmt.Sprintf("%s-%d", k.name, k.sent)
			k.sent++
			ids = append(ids, id)
			sent = append(sent, requestBytes([]string{"/once/", "/twice/", "/more/"}[k.random.IntN(3)], id, n, n > 0 && k.random.IntN(2) == 0)...)
		}
		written := make(chan error, 1)
		go func() {
			written <- writeInParts(c, sent)
		}()
		for i := 0; i < len(ids) && !closes; i++ {
			status, h, last, err := readAnswer(b)
			if err != nil {
				k.t.Errorf("request %s, the %d. of %d, with %d bytes: no whole answer: %v", ids[i], i+1, batch, n, err)
				return
			}
			if v := h.Get("Figwheel-Attempt-Id"); status == http.StatusOK && v != ids[i] {
				k.t.Errorf("request %s got the answer to %s", ids[i], v)
			}
			k.got[fmt.Sprint(status, " ", h.Get(contract.CodeHeader))]++
			closes = last
		}
		if err := <-written; err != nil {
			k.t.Errorf("request %s, with %d bytes: cut after its answer, while it was sent: %v", ids[0], n, err)
			return
		}
	}
}

// writeInParts writes b in parts, so that an answer may come while it is sent.
func writeInParts(c net.Conn, b []byte) error {
	const partBytes, pause = 16 << 10, 500 * time.Microsecond
	for len(b) > 0 {
		n, err := c.Write(b[:min(len(b), partBytes)])
		if err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(pause)
		}
	}
	return nil
}

// readAnswer reads an answer whole and returns its status, its headers and whether it
// closes the connection.
func readAnswer(b *bufio.Reader) (status int, h http.Header, closes bool, err error) {
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, nil, false, err
	}
	defer func() { _ = p.Body.Close() }()
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, p.Header, p.Close, err
}
