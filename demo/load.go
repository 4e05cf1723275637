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
	callerCount    = 32
	workTime       = 2 * time.Millisecond // a worker spends on each request
	thinkTimeMean  = 8 * time.Millisecond // between two requests of a caller
	callTimeout    = 10 * time.Second
	bodyBytes      = 200 // approximate, of a request with a body
	answerBytesMax = 1 << 20
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	method        string
	host          string
	path          string
	nonIdempotent bool // must not run twice
}

// observation is the routing of one kind of request as an answer shows it.
type observation struct {
	site      string
	version   uint64
	kindIndex int    // in load.kinds
	service   string // service that answered, empty if there was no route
}

// Counts are numbers of requests by the answers that callers received.
type Counts struct {
	Calls    int64 // requests that reached a daemon with a configuration
	Failed   int64 // calls without the right answer
	NotRun   int64 // failed calls reported as not run
	Unknown  int64 // failed calls that may have run
	Wrong    int64 // answers of a worker with an unexpected body
	WentBack int64 // answers under an older version than one seen before at the same daemon
	Dangling int64 // answers that report a route without a service
}

// load runs the callers and collects their results.
type load struct {
	mesh         *Mesh
	kinds        []requestKind
	versionsSeen map[string]*atomic.Uint64 // newest version seen by call address
	lastID       atomic.Int64

	mu               sync.Mutex
	counts           Counts
	observations     map[observation]int // number of answers
	reportedNotRun   map[string]bool     // ids of requests that were answered as not run
	nonIdempotentIDs map[string]bool     // ids of requests that must not run twice
	codes            map[string]int      // number of failed calls by code or error
	callTimes        []time.Duration     // of answers of workers
}

func newLoad(m *Mesh, k []requestKind) *load {
	l := &load{
		mesh:             m,
		kinds:            k,
		versionsSeen:     make(map[string]*atomic.Uint64),
		observations:     make(map[observation]int),
		reportedNotRun:   make(map[string]bool),
		nonIdempotentIDs: make(map[string]bool),
		codes:            make(map[string]int),
	}
	for _, i := range m.Instances {
		l.versionsSeen[i.Settings.CallAddress] = &atomic.Uint64{}
	}
	return l
}

// run runs all callers until x ends and waits for their last answers.
func (l *load) run(x context.Context, seed uint64) {
	done := make(chan struct{})
	for i := range callerCount {
		go func() {
			l.runCaller(x, rand.New(rand.NewPCG(seed, uint64(i))))
			done <- struct{}{}
		}()
	}
	for range callerCount {
		<-done
	}
}

// runCaller sends requests to one daemon until x ends, as a caller that keeps
// its connection does. It changes to another daemon, chosen at random, after a
// request without a complete answer.
func (l *load) runCaller(x context.Context, r *rand.Rand) {
	c := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}}
	defer c.CloseIdleConnections()
	k := l.mesh.Instances[r.IntN(len(l.mesh.Instances))]
	for x.Err() == nil {
		if !l.call(c, r, k) {
			k = l.mesh.Instances[r.IntN(len(l.mesh.Instances))]
		}
		t := time.NewTimer(time.Duration(r.ExpFloat64() * float64(thinkTimeMean)))
		select {
		case <-x.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// call sends one request and reports whether a complete answer was received.
func (l *load) call(c *http.Client, r *rand.Rand, k *Instance) bool {
	i := r.IntN(len(l.kinds))
	d := l.kinds[i]
	id := strconv.FormatInt(l.lastID.Add(1), 10)
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
	f := l.versionsSeen[k.Settings.CallAddress]
	seen := f.Load()
	began := time.Now()
	p, err := c.Do(q)
	if err != nil {
		return l.recordNoAnswer(id, d, err)
	}
	a, err := io.ReadAll(io.LimitReader(p.Body, answerBytesMax))
	_ = p.Body.Close()
	if err != nil {
		return l.recordNoAnswer(id, d, err)
	}
	v, _ := strconv.ParseUint(p.Header.Get(contract.VersionHeader), 10, 64)
	raiseTo(f, v)
	l.recordAnswer(answer{kindIndex: i, id: id, requestBody: b, site: k.Site, versionSeen: seen, version: v, header: p.Header, answerBody: a, elapsed: time.Since(began)})
	return true
}

// raiseTo sets f to v if v is greater.
func raiseTo(f *atomic.Uint64, v uint64) {
	for {
		o := f.Load()
		if v <= o || f.CompareAndSwap(o, v) {
			return
		}
	}
}

// recordNoAnswer counts a request without a complete answer as a failed call that
// may have run, and returns false. It does not count a request for which no
// connection could be made: that has not run, since no daemon was listening.
func (l *load) recordNoAnswer(id string, d requestKind, err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isDialError(err) {
		return false
	}
	l.counts.Calls++
	l.counts.Failed++
	l.counts.Unknown++
	l.codes[fmt.Sprintf("no answer: %v", err)]++
	if d.nonIdempotent {
		l.nonIdempotentIDs[id] = true
	}
	return false
}

// answer is a complete answer to one request.
type answer struct {
	kindIndex   int
	id          string
	requestBody []byte
	site        string
	versionSeen uint64
	version     uint64
	header      http.Header
	answerBody  []byte
	elapsed     time.Duration
}

// recordAnswer counts a complete answer and checks its version and its body.
func (l *load) recordAnswer(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := a.header.Get(contract.CodeHeader)
	if c == result.NoConfiguration.String() {
		return // the daemon has no configuration yet, so this is not counted as a call
	}
	l.counts.Calls++
	if a.version < a.versionSeen {
		l.counts.WentBack++
	}
	s := observation{site: a.site, version: a.version, kindIndex: a.kindIndex, service: a.header.Get(upstreamtest.ServiceHeader)}
	if l.kinds[a.kindIndex].nonIdempotent {
		l.nonIdempotentIDs[a.id] = true
	}
	switch {
	case c == "":
		l.callTimes = append(l.callTimes, a.elapsed)
		l.observations[s]++
		if !bytes.Equal(a.answerBody, upstreamtest.Answer(s.service, a.id, a.requestBody)) {
			l.counts.Wrong++
			l.counts.Failed++
		}
		return
	case c == result.NoRoute.String():
		l.observations[s]++
	case c == result.RouteWithoutService.String():
		l.counts.Dangling++
	}
	l.codes[c]++
	l.counts.Failed++
	if a.header.Get(contract.OutcomeHeader) == contract.NotRun.String() {
		l.counts.NotRun++
		l.reportedNotRun[a.id] = true
		return
	}
	l.counts.Unknown++
}
