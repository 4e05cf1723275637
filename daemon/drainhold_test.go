package daemon

import (
	"net/http"
	"testing"
	"time"

	"figwheel/settings"
	"figwheel/upstream/upstreamtest"
)

// holdPath is the path of requests that the workers of a hold hold.
const holdPath = "/hold"

const (
	holdSlots      = 2                                  // of each worker of a hold
	holdDrainLimit = settings.Duration(4 * time.Second) // requests that wait elsewhere are given up before it while a hold is set up, too
)

// hold makes workers hold requests until release is closed.
type hold struct{ release chan struct{} }

// newHold returns a fleet with a hold. Its daemons know how long other requests take.
func newHold(t *testing.T, c *http.Client) (*drainFleet, hold) {
	h := hold{release: make(chan struct{})}
	d := startDrainFleet(t, holdDrainLimit, func(k *upstreamtest.Worker) {
		k.Slots = holdSlots
		k.Hold = func(r *http.Request) {
			if r.URL.Path == holdPath {
				<-h.release
			}
		}
	})
	for i := range d.daemons {
		for range 3 {
			if s := post(c, d.daemons[i].Settings().CallAddress); s != "" {
				t.Fatal(s)
			}
		}
	}
	return d, h
}

// stopping is the number of the daemon that stops.
const stopping = 2

// occupy sends requests to the daemon that stops until its worker runs one more. It
// returns their number; their results are sent to results.
func (d *drainFleet) occupy(c *http.Client, results chan<- string) int {
	i := stopping
	runs, all := d.workers[i].Total(), d.inFlight()
	n := 0
	for before := d.daemons[i].worker.InFlight(); d.daemons[i].worker.InFlight() == before; {
		n++
		go func() { results <- postTo(c, d.daemons[i].Settings().CallAddress, holdPath) }()
		d.wait("the request is at a worker or waits", func() bool { return d.inFlight() == all+n })
	}
	d.wait("the worker runs it", func() bool { return d.workers[i].Total() > runs })
	return n
}

// runs returns the number of requests that the workers began to run.
func (d *drainFleet) runs() int {
	n := 0
	for _, k := range d.workers {
		n += k.Total()
	}
	return n
}

// inFlight returns the number of requests at all workers and waiting for them.
func (d *drainFleet) inFlight() int {
	n := 0
	for _, b := range d.daemons {
		n += b.worker.InFlight()
	}
	return n
}

// stopAnnounced begins to stop a daemon and returns when the others know. The channel
// is closed when it has ended.
func (d *drainFleet) stopAnnounced() <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.stop(stopping)
	}()
	d.wait("the drain is announced", func() bool {
		t := d.daemons[stopping].worker.Drain().AnnouncedAt
		return !t.IsZero() && !time.Now().Before(t)
	})
	return stopped
}
