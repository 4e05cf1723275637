package caller

import (
	"sync/atomic"
	"time"

	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
)

const (
	// reportAgeMax is the age that a load report counts as having at most, also where
	// an instance has reported none.
	reportAgeMax = 10 * time.Second
	// reportAgeWeight is the weight of the newest choice in the mean age.
	reportAgeWeight = 1.0 / 16
)

// Offers counts how instances took the requests that were offered to them, which shows
// how even the load is and on how old a knowledge it is spread. The zero value is ready
// to use and safe for concurrent use.
type Offers struct {
	answered, full, failed atomic.Int64
	meanAge                atomic.Int64 // of the load reports of the instances chosen, in nanoseconds
}

// Answered returns the number of offers that were answered by the worker.
func (o *Offers) Answered() int64 { return o.answered.Load() }

// Full returns the number of offers that a full instance rejected.
func (o *Offers) Full() int64 { return o.full.Load() }

// Failed returns the number of offers that ended otherwise.
func (o *Offers) Failed() int64 { return o.failed.Load() }

// ReportAge returns the mean age of the load reports of chosen instances, in seconds.
func (o *Offers) ReportAge() float64 { return time.Duration(o.meanAge.Load()).Seconds() }

// begin records that the instance k was chosen at now. It does nothing for nil.
func (o *Offers) begin(k *link.Candidate, now time.Time) {
	if o == nil {
		return
	}
	a := int64(min(reportAgeMax, k.Peer.ReportAge(now)))
	m := o.meanAge.Load()
	o.meanAge.Store(m + int64(reportAgeWeight*float64(a-m)))
}

// end records an offer that ended with f. It does nothing for nil.
func (o *Offers) end(f hop.Result) {
	switch {
	case o == nil:
	case f.OK():
		o.answered.Add(1)
	case f.Code == result.Overloaded:
		o.full.Add(1)
	default:
		o.failed.Add(1)
	}
}
