package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"figwheel/contract"
	"figwheel/result"
	"figwheel/upstream/upstreamtest"
)

const (
	callers   = 32
	workTime  = 2 * time.Millisecond
	thinkTime = 8 * time.Millisecond // mean pause of a caller
	callTime  = 10 * time.Second
	bodyBytes = 200
	answerMax = 1 << 20
)

// kind is one kind of request that callers send.
type kind struct {
	method string
	host   string
	path   string
	once   bool // must not run twice
}

// seen is what a caller learned about the routing of one kind of request.
type seen struct {
	site    string
	version uint64
	kind    int
	service string // that answered, empty when there was no route
}

// Counts are what callers saw.
type Counts struct {
	Calls    int64
	Failed   int64
	NotRun   int64
	Unknown  int64
	Wrong    int64
	WentBack int64
	Dangling int64
}

// load is all callers together.
type load struct {
	mesh   *Mesh
	kinds  []kind
	floors map[string]*atomic.Uint64 // newest version seen, by call address
	next   atomic.Int64

	mu      sync.Mutex
	counts  Counts
	seen    map[seen]int
	notRun  map[string]bool // ids of requests that were told so
	onceIDs map[string]bool
	codes   map[string]int
	took    []time.Duration
}

func newLoad(m *Mesh, k []kind) *load {
	l := &load{
		mesh:    m,
		kinds:   k,
		floors:  make(map[string]*atomic.Uint64),
		seen:    make(map[seen]int),
		notRun:  make(map[string]bool),
		onceIDs: make(map[string]bool),
		codes:   make(map[string]int),
	}
	for _, i := range m.Instances {
		l.floors[i.Settings.CallAddress] = &atomic.Uint64{}
	}
	return l
}

// run lets all callers call until x ends and waits for their last answers.
func (l *load) run(x context.Context, seed uint64) {
	done := make(chan struct{})
	for i := range callers {
		go func() {
			l.caller(x, rand.New(rand.NewPCG(seed, uint64(i))))
			done <- struct{}{}
		}()
	}
	for range callers {
		<-done
	}
}

// caller is one caller: it stays with a daemon of its site, as a bench
// terminal would, and takes another when that one is not there.
func (l *load) caller(x context.Context, r *rand.Rand) {
	c := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableCompression: true}}
	defer c.CloseIdleConnections()
	k := l.mesh.Instances[r.IntN(len(l.mesh.Instances))]
	for x.Err() == nil {
		if !l.call(c, r, k) {
			k = l.mesh.Instances[r.IntN(len(l.mesh.Instances))]
		}
		t := time.NewTimer(time.Duration(r.ExpFloat64() * float64(thinkTime)))
		select {
		case <-x.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// call sends one request and tells whether the daemon was there.
func (l *load) call(c *http.Client, r *rand.Rand, k *Instance) bool {
	i := r.IntN(len(l.kinds))
	d := l.kinds[i]
	id := strconv.FormatInt(l.next.Add(1), 10)
	var b []byte
	if d.method == http.MethodPost {
		b = bytes.Repeat([]byte(id+" "), bodyBytes/(len(id)+1))
	}
	q, err := http.NewRequest(d.method, "http://"+k.Settings.CallAddress+d.path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return false
	}
	q.ContentLength = int64(len(b))
	q.Host = d.host
	q.Header.Set(upstreamtest.RequestHeader, id)
	f := l.floors[k.Settings.CallAddress]
	floor := f.Load()
	began := time.Now()
	p, err := c.Do(q)
	if err != nil {
		return l.noAnswer(id, d, err)
	}
	a, err := io.ReadAll(io.LimitReader(p.Body, answerMax))
	_ = p.Body.Close()
	if err != nil {
		return l.noAnswer(id, d, err)
	}
	v, _ := strconv.ParseUint(p.Header.Get(contract.VersionHeader), 10, 64)
	raise(f, v)
	l.answered(answer{kind: i, id: id, body: b, site: k.Site, floor: floor, version: v, header: p.Header, data: a, took: time.Since(began)})
	return true
}

// raise lifts f to v.
func raise(f *atomic.Uint64, v uint64) {
	for {
		o := f.Load()
		if v <= o || f.CompareAndSwap(o, v) {
			return
		}
	}
}

// noAnswer counts a request without a whole answer. Only one for which no
// connection was made is known not to have run; it counts as a daemon that is
// away and not as a call.
func (l *load) noAnswer(id string, d kind, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if noConnection(err) {
		return false
	}
	l.counts.Calls++
	l.counts.Failed++
	l.counts.Unknown++
	l.codes[fmt.Sprintf("no answer: %v", err)]++
	if d.once {
		l.onceIDs[id] = true
	}
	return false
}

type answer struct {
	kind    int
	id      string
	body    []byte
	site    string
	floor   uint64
	version uint64
	header  http.Header
	data    []byte
	took    time.Duration
}

func (l *load) answered(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := a.header.Get(contract.CodeHeader)
	if c == result.NoConfiguration.String() {
		return // the daemon serves nothing yet, and says so
	}
	l.counts.Calls++
	if a.version < a.floor {
		l.counts.WentBack++
	}
	s := seen{site: a.site, version: a.version, kind: a.kind, service: a.header.Get(upstreamtest.ServiceHeader)}
	if l.kinds[a.kind].once {
		l.onceIDs[a.id] = true
	}
	switch {
	case c == "":
		l.took = append(l.took, a.took)
		l.seen[s]++
		if !bytes.Equal(a.data, upstreamtest.Answer(s.service, a.id, a.body)) {
			l.counts.Wrong++
			l.counts.Failed++
		}
		return
	case c == result.NoRoute.String():
		l.seen[s]++
	case c == result.RouteWithoutService.String():
		l.counts.Dangling++
	}
	l.codes[c]++
	l.counts.Failed++
	if a.header.Get(contract.OutcomeHeader) == contract.NotRun.String() {
		l.counts.NotRun++
		l.notRun[a.id] = true
		return
	}
	l.counts.Unknown++
}
