package link

import (
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// loadAgeMax is the age at which a load report has lost all its weight. Requests
// take some hundred milliseconds: after this time few of those that were reported
// are still in flight.
const loadAgeMax = 500 * time.Millisecond

// serviceTimeAgeMax is the age at which a reported service time has lost all its
// weight. The weight falls with age because an instance that was slow, for example
// after its start, must get requests again before its service time can be
// corrected. The bound is not lower because in a large fleet a daemon sends a
// request to any one instance only every few seconds.
const serviceTimeAgeMax = 10 * time.Second

const (
	// meanLoadAgeMax is the age at which the mean load of an instance has lost all
	// its weight. The weight falls with age, so that an instance that was once full
	// gets requests again.
	meanLoadAgeMax = 30 * time.Second
	// meanLoadWeight is the weight of the newest report in the mean load, which is
	// an exponentially weighted moving average.
	meanLoadWeight = 0.1
)

// Load is a load report of an instance on its worker.
type Load struct {
	InFlight int           // requests at the worker and in its queue
	Hold     time.Duration // mean service time of all requests, 0 if unknown
	Work     time.Duration // mean service time of one kind, increased by the cost of the requests that fail, 0 if unknown

	RateLimit float64       // requests per second that the worker takes, 0 if it states no limit
	Wait      time.Duration // until the rate limit admits one more request

	Took time.Duration // from the read of the request to the head of the answer that bears the report, 0 if unknown
}

// String returns the load in the format of the load header of a response: the
// requests in flight, and the mean service times in microseconds of all requests
// and of those of the response's kind. The rate limit in thousandths of a request
// per second and the wait in microseconds follow if there is one or the time taken
// is known, which comes last, in microseconds. Daemons of an older build ignore that
// time, and with it the wait.
func (l Load) String() string {
	b := make([]byte, 0, loadTextBytes)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = appendField(appendField(b, l.Hold.Microseconds()), l.Work.Microseconds())
	if l.RateLimit > 0 || l.Took > 0 {
		b = appendField(appendField(b, milliRate(l.RateLimit)), l.Wait.Microseconds())
	}
	if l.Took > 0 {
		b = appendField(b, l.Took.Microseconds())
	}
	return string(b)
}

// loadTextBytes is enough for the text of most load reports, in bytes.
const loadTextBytes = 64

func appendField(b []byte, n int64) []byte { return strconv.AppendInt(append(b, ' '), n, 10) }

// ParseLoad parses a load in the format of Load.String and reports whether s holds
// one of up to inFlightMax requests. A service time, rate limit, wait or time taken that is
// missing or malformed becomes 0.
func ParseLoad(s string) (Load, bool) {
	a, rest, _ := strings.Cut(s, " ")
	n, err := strconv.Atoi(a)
	if err != nil || n < 0 || n > inFlightMax {
		return Load{}, false
	}
	b, rest, _ := strings.Cut(rest, " ")
	c, rest, _ := strings.Cut(rest, " ")
	l := Load{InFlight: n, Hold: parseMicros(b), Work: parseMicros(c)}
	if d, rest, ok := strings.Cut(rest, " "); ok {
		e, g, _ := strings.Cut(rest, " ")
		l.Took = parseMicros(g)
		if l.RateLimit = parseRate(d); l.RateLimit > 0 {
			l.Wait = parseMicros(e)
		}
	}
	return l, true
}

// inFlightMax bounds the requests in flight that are accepted from an instance. Their
// service times together fit into a time.Duration.
const inFlightMax = 1 << 20

// rateLimitMax bounds the rate limits that are accepted from an instance, in
// requests per second.
const rateLimitMax = 1e6

// serviceTimeMax bounds the service times that are accepted from an instance; a
// greater one is taken as unknown.
const serviceTimeMax = time.Hour

// milliRate returns a rate in thousandths of a request per second, at least 1 for
// a rate above 0, since 0 stands for no limit.
func milliRate(perSecond float64) int64 {
	if perSecond <= 0 {
		return 0
	}
	return max(1, int64(math.Round(min(perSecond, rateLimitMax)*milliPerRequest)))
}

// parseRate parses a rate in thousandths of a request per second; it returns 0 if
// that is malformed or out of range.
func parseRate(s string) float64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > rateLimitMax*milliPerRequest {
		return 0
	}
	return float64(n) / milliPerRequest
}

// parseMicros parses a time in microseconds; it returns 0 if that is missing,
// malformed or out of range.
func parseMicros(s string) time.Duration {
	us, err := strconv.ParseInt(s, 10, 64)
	if err != nil || us < 0 || us > serviceTimeMax.Microseconds() {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// Peer is what this daemon knows of the load of one instance. It is shared by all
// Candidates that contain the instance and is safe for concurrent use.
type Peer struct {
	ownInFlight       atomic.Int64 // requests that this daemon sent and that have not ended
	reportedInFlight  atomic.Int64 // of the last report, adjusted for this daemon's requests since
	reportedAt        Moment       // time of the last report
	meanInFlightMilli atomic.Int64 // mean of the reports, in thousandths of a request plus 1; 0 before the first
	serviceNanos      atomic.Int64 // mean service time of all requests
	lastResponse      Moment       // of the last response, or of the first request after none was in flight
	rateLimitMilli    atomic.Int64 // last reported rate limit of the worker, in thousandths of a request per second; 0 for none
	admittedFrom      Moment       // when the rate limit is expected to admit the next request
	ejectedUntil      Moment
	kinds             kindMap[kindStats]

	Transit Transit // of this daemon's requests to the instance
}

// kindStats is the last reported service time of requests of one kind at an
// instance.
type kindStats struct {
	meanNanos  atomic.Int64
	reportedAt Moment
}

const (
	// unresponsiveServiceTimes is the number of mean service times without a
	// response to this daemon after which an instance counts as unresponsive.
	unresponsiveServiceTimes = 4
	// unresponsiveTimeMin is the shortest time without a response after which an
	// instance counts as unresponsive: pauses of a busy process are shorter.
	unresponsiveTimeMin = 150 * time.Millisecond
)

// Begin records that this daemon sends a request to the instance at now.
func (p *Peer) Begin(now time.Time) {
	if p.ownInFlight.Add(1) == 1 {
		p.lastResponse.Set(now)
	}
	p.reportedInFlight.Add(1)
	if l := p.rateLimit(); l > 0 {
		p.admittedFrom.Set(now.Add(p.rateWait(instantOf(now)) + time.Duration(float64(time.Second)/l)))
	}
}

// rateLimit returns the rate limit of the worker in requests per second, 0 for
// none.
func (p *Peer) rateLimit() float64 { return float64(p.rateLimitMilli.Load()) / milliPerRequest }

// rateWait returns the time until the rate limit of the worker is expected to
// admit a request.
func (p *Peer) rateWait(now instant) time.Duration {
	if p.rateLimitMilli.Load() == 0 {
		return 0
	}
	return max(0, -p.admittedFrom.age(now))
}

// Unresponsive reports whether the instance is unresponsive at now: requests of
// this daemon are in flight there, and none has got a response for much longer than
// a request takes. The instance may be cut off, paused or without power, which the
// failure detection of the fleet finds only seconds later.
func (p *Peer) Unresponsive(now time.Time) bool { return p.unresponsive(instantOf(now)) }

func (p *Peer) unresponsive(now instant) bool {
	if p.ownInFlight.Load() == 0 {
		return false
	}
	limit := max(unresponsiveTimeMin, unresponsiveServiceTimes*time.Duration(p.serviceNanos.Load()))
	return p.lastResponse.age(now) > limit
}

// End records that a request of the kind ended at now. The load is that of the
// load header of the response, or empty if there was no response.
func (p *Peer) End(load, kind string, now time.Time) {
	p.ownInFlight.Add(-1)
	if load != "" {
		p.lastResponse.Set(now)
	}
	l, ok := ParseLoad(load)
	if !ok {
		p.reportedInFlight.Add(-1)
		return
	}
	p.Report(l, kind, now)
}

// Report records the load that the instance reported at now; l.Work is the
// service time of the kind.
func (p *Peer) Report(l Load, kind string, now time.Time) {
	p.reportedInFlight.Store(int64(l.InFlight))
	n := milliPerRequest*int64(l.InFlight) + 1
	if u := p.meanInFlightMilli.Load(); u > 0 {
		n = u + int64(meanLoadWeight*float64(n-u))
	}
	p.meanInFlightMilli.Store(n)
	p.reportedAt.Set(now)
	if l.RateLimit > 0 {
		p.admittedFrom.Set(now.Add(l.Wait))
	}
	p.rateLimitMilli.Store(milliRate(l.RateLimit))
	if l.Hold > 0 {
		p.serviceNanos.Store(int64(l.Hold))
	}
	if l.Work > 0 {
		k := p.kinds.of(kind)
		k.meanNanos.Store(int64(l.Work))
		k.reportedAt.Set(now)
	}
}

// ReportAge returns the age of the last load report at now; without a report it is the
// longest duration.
func (p *Peer) ReportAge(now time.Time) time.Duration { return p.reportedAt.Age(now) }

// Load returns the number of requests in flight at the instance at now, estimated
// from this daemon's own requests and the last report. The weight of the report
// falls with its age, so that an instance that was once full gets requests again.
func (p *Peer) Load(now time.Time) int64 { return p.load(instantOf(now)) }

func (p *Peer) load(now instant) int64 {
	own := p.ownInFlight.Load()
	age := p.reportedAt.age(now)
	if age >= loadAgeMax {
		return own
	}
	others := max(0, p.reportedInFlight.Load()-own)
	return own + int64(float64(others)*(1-float64(age)/float64(loadAgeMax))+0.5)
}

// milliPerRequest is the number of units in one request where requests are counted
// in thousandths.
const milliPerRequest = 1000

// expectedLoad is Load with the mean load taken into account: within loadAgeMax the
// weight moves from the last report to the mean load. Without the mean load, every
// instance without a recent report would look empty, and in a large fleet all
// daemons would choose the fastest instances.
func (p *Peer) expectedLoad(now instant) float64 { return p.expectedLoadAt(p.reportedAt.age(now)) }

// expectedLoadAt is expectedLoad when the last report has the given age.
func (p *Peer) expectedLoadAt(age time.Duration) float64 {
	own := float64(p.ownInFlight.Load())
	if age >= meanLoadAgeMax {
		return own
	}
	n := float64(p.meanInFlightMilli.Load()) * (1.0 / milliPerRequest) * (1 - float64(age)*(1/float64(meanLoadAgeMax)))
	if age < loadAgeMax {
		w := 1 - float64(age)*(1/float64(loadAgeMax))
		n = w*float64(p.reportedInFlight.Load()) + (1-w)*n
	}
	return max(own, n)
}

// KindServiceTime returns the mean service time of requests of the kind at the
// instance and its weight at now, which falls from 1 for a new report to 0 at
// serviceTimeAgeMax. Both are 0 if the time is unknown.
func (p *Peer) KindServiceTime(kind string, now time.Time) (mean time.Duration, weight float64) {
	return p.kindServiceTime(kind, instantOf(now))
}

func (p *Peer) kindServiceTime(kind string, now instant) (mean time.Duration, weight float64) {
	return p.kinds.get(kind).serviceTime(now)
}

// serviceTime returns the service time and its weight at now. Both are 0 for nil.
func (k *kindStats) serviceTime(now instant) (mean time.Duration, weight float64) {
	if k == nil {
		return 0, 0
	}
	return timeAndWeight(time.Duration(k.meanNanos.Load()), k.reportedAt.age(now))
}

// serviceTime returns the mean service time of requests of all kinds, which
// determines the wait for a slot, and its weight at now.
func (p *Peer) serviceTime(now instant) (mean time.Duration, weight float64) {
	return timeAndWeight(time.Duration(p.serviceNanos.Load()), p.reportedAt.age(now))
}

// timeAndWeight returns the service time t, whose report has the given age, and
// its weight; both are 0 if the report has expired or t is unknown.
func timeAndWeight(t, age time.Duration) (time.Duration, float64) {
	if age >= serviceTimeAgeMax || t == 0 {
		return 0, 0
	}
	return t, 1 - float64(max(0, age))*(1/float64(serviceTimeAgeMax))
}

// Eject ejects the instance until the time t: it is chosen only if there is no
// other.
func (p *Peer) Eject(t time.Time) { p.ejectedUntil.Set(t) }

// Ejected reports whether the instance is ejected at now.
func (p *Peer) Ejected(now time.Time) bool { return p.ejected(instantOf(now)) }

func (p *Peer) ejected(now instant) bool { return p.ejectedUntil.age(now) < 0 }
