package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"figwheel/contract"
	"figwheel/result"
	"figwheel/site"
	"figwheel/upstream/upstreamtest"
)

const (
	changeSeed     = 1
	changeTime     = 2 * time.Second
	changeInterval = 10 * time.Millisecond // between versions of the configuration
	changeCallers  = 12
	changeSlots    = 3 // of each worker
)

// changingFleet is a managed fleet with workers whose configuration changes all the
// time.
type changingFleet struct {
	*managedFleet
	random *rand.Rand
}

func newChangingFleet(t *testing.T) *changingFleet {
	const instances = 3
	f := &changingFleet{newManagedFleet(t, instances), rand.New(rand.NewPCG(changeSeed, 0))}
	x, stop := context.WithCancel(t.Context())
	ended := make(chan error, instances)
	for _, d := range f.daemons {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		k := &upstreamtest.Worker{Service: "s", Slots: changeSlots, Work: time.Millisecond}
		go func() { ended <- k.Run(x, l, d.Settings().UpstreamAddress) }()
	}
	t.Cleanup(func() {
		stop()
		for range instances {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	})
	f.wait("the workers are ready everywhere", func() bool {
		return f.all(func(c *control) bool { return len(c.readyInstances()) == instances })
	})
	return f
}

// writeRandom writes a configuration of that number.
func (f *changingFleet) writeRandom(number uint64) error {
	pick := func(l ...int) int { return l[f.random.IntN(len(l))] }
	t := site.Table{Number: number, Limits: site.Limits{BodyBytes: int64(pick(0, 1<<20))}}
	if f.random.IntN(8) > 0 {
		t.Services = []site.Service{{Name: "s", Deadline: time.Duration(pick(1, 2)) * time.Second, Slots: pick(0, 2, 3), Queue: pick(0, 3), Connections: pick(0, 4, 8)}}
	}
	for _, p := range []string{"/", "/more/"} {
		if f.random.IntN(6) > 0 {
			t.Routes = append(t.Routes, site.Route{Name: p, Host: "h.example", PathPrefix: p, Timeout: time.Duration(pick(1, 2)) * time.Second, Targets: []site.Split{{Service: "s", Weight: 1}}})
		}
	}
	b, err := t.Encode()
	if err != nil {
		return err
	}
	o, err := f.store.Put(context.Background(), "config/main", f.version, b)
	f.version = o.Version
	return err
}

// keptCaller sends requests on kept connections, up to three at once.
type keptCaller struct {
	address string
	random  *rand.Rand
	answers map[string]int // by status and code
}

// run sends requests until x ends. It returns an error if one gets no answer.
func (k *keptCaller) run(x context.Context) error {
	for x.Err() == nil {
		c, err := net.Dial("tcp", k.address)
		if err != nil {
			return err
		}
		err = k.useConnection(x, c)
		_ = c.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// useConnection sends requests on c until an answer closes it or x ends.
func (k *keptCaller) useConnection(x context.Context, c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(testWait)); err != nil {
		return err
	}
	b := bufio.NewReader(c)
	for x.Err() == nil {
		batch := 1 + k.random.IntN(3)
		var q bytes.Buffer
		for range batch {
			k.writeRequest(&q)
		}
		n := 1 + k.random.IntN(q.Len())
		if _, err := c.Write(q.Bytes()[:n]); err != nil {
			return err
		}
		if _, err := c.Write(q.Bytes()[n:]); err != nil {
			return err
		}
		for i := range batch {
			p, err := http.ReadResponse(b, nil)
			if err != nil {
				return fmt.Errorf("request %d of %d: %w", i+1, batch, err)
			}
			_, err = io.Copy(io.Discard, p.Body)
			_ = p.Body.Close()
			if err != nil {
				return err
			}
			k.answers[p.Status+" "+p.Header.Get(contract.CodeHeader)]++
			if p.Close {
				return nil
			}
		}
	}
	return nil
}

func (k *keptCaller) writeRequest(b *bytes.Buffer) {
	path := []string{"/", "/more/x"}[k.random.IntN(2)]
	body := strings.Repeat("x", []int{0, 10, 2000, 20_000}[k.random.IntN(4)])
	_, _ = fmt.Fprintf(b, "POST %s HTTP/1.1\r\nHost: h.example\r\n", path)
	if len(body) > 0 && k.random.IntN(2) == 0 {
		_, _ = fmt.Fprintf(b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		return
	}
	_, _ = fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// TestKeptConnectionsSurviveChangesOfConfiguration guards against daemons that end a connection under a request while they change their configuration.
func TestKeptConnectionsSurviveChangesOfConfiguration(t *testing.T) {
	f := newChangingFleet(t)
	x, stop := context.WithTimeout(t.Context(), changeTime)
	defer stop()
	var g sync.WaitGroup
	callers := make([]*keptCaller, changeCallers)
	for i := range callers {
		k := &keptCaller{f.daemons[i%len(f.daemons)].Settings().CallAddress, rand.New(rand.NewPCG(changeSeed, uint64(i+1))), make(map[string]int)}
		callers[i] = k
		g.Go(func() {
			if err := k.run(x); err != nil {
				t.Errorf("caller %d: %v", i, err)
			}
		})
	}
	tick := time.NewTicker(changeInterval)
	defer tick.Stop()
	for n := uint64(2); x.Err() == nil; n++ {
		if err := f.writeRandom(n); err != nil {
			t.Error(err)
			break
		}
		<-tick.C
	}
	g.Wait()
	gone := result.CallerGone.String()
	for i, k := range callers {
		t.Logf("caller %d: %v", i, k.answers)
		for s, n := range k.answers {
			if strings.HasSuffix(s, gone) {
				t.Errorf("caller %d was taken for gone %d times", i, n)
			}
		}
	}
	for i, d := range f.daemons {
		if n := d.cuts.Load(); n > 0 {
			t.Errorf("daemon %d ended %d connections under a request", i, n)
		}
	}
}
