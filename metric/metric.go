package metric

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	otel "go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"figwheel/contract"
	"figwheel/result"
)

var metricError = errs.Class("metric")

// Gauges are functions that return the current values of a daemon. They are
// called when metrics are collected. A metric whose function is nil has the value 0.
type Gauges struct {
	Version      func() int64 // number of the configuration version that this daemon serves
	ControlIn    func() int64 // control bytes received from other daemons since the start
	ControlOut   func() int64 // control bytes sent to other daemons since the start
	InFlight     func() int64 // requests at the worker or waiting for it
	PlatformCall func() int64 // calls to the platform since the start
	Sent         func() int64 // requests sent to the worker since the start
	Cuts         func() int64 // connections of callers that ended under a request since the start

	QuotaShort    func() int64 // client accounts whose callers send more than the quota has room for
	QuotaIsolated func() int64 // 1 if this daemon admits by its own part of the quotas, else 0
	QuotaRefused  func() int64 // requests that were over a quota since the start
	QuotaMessages func() int64 // messages about quotas to other daemons since the start
	QuotaFailures func() int64 // those of them that were not answered

	LinkBacklog  func() int64 // microseconds for which the answers that were sent keep the instance's link busy
	LinkWaiting  func() int64 // parts of large answers that wait for their turns on the link
	LinkRejected func() int64 // requests rejected for want of room on the link since the start

	OffersAnswered func() int64   // requests offered to an instance that its worker answered, since the start
	OffersFull     func() int64   // requests offered to an instance that was full, since the start
	OffersFailed   func() int64   // requests offered to an instance that ended otherwise, since the start
	ReportAge      func() float64 // mean age of the load reports of the instances chosen, in seconds

	RateLimit func() float64 // requests per second that the worker takes, 0 if it states no limit
}

// Set holds the instruments of one daemon.
type Set struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	calls    otel.Int64Counter
	duration otel.Float64Histogram
	changes  otel.Int64Counter
	options  sync.Map // of otel.MeasurementOption, by callKey
	accounts accountCounter
}

// callKey is the key of the cached attributes of a call.
type callKey struct {
	service string
	code    result.Code
	outcome contract.Outcome
}

// New returns the instruments of a daemon whose current values are read from g.
func New(g Gauges) (*Set, error) {
	r := prometheus.NewRegistry()
	e, err := exporter.New(exporter.WithRegisterer(r), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, metricError.Wrap(err)
	}
	s := &Set{
		provider: sdk.NewMeterProvider(sdk.WithReader(e)),
		handler:  promhttp.HandlerFor(r, promhttp.HandlerOpts{}),
	}
	return s, metricError.Wrap(s.create(g))
}

// create creates the instruments.
func (s *Set) create(g Gauges) error {
	m := s.provider.Meter("figwheel")
	var e errs.Group
	var err error
	s.calls, err = m.Int64Counter("figwheel.calls", otel.WithDescription("calls by service, code and outcome"))
	e.Add(err)
	s.duration, err = m.Float64Histogram("figwheel.call.duration", otel.WithUnit("s"), otel.WithDescription("time from request to end of answer"))
	e.Add(err)
	s.changes, err = m.Int64Counter("figwheel.changes", otel.WithDescription("changes that this daemon ended, by code"))
	e.Add(err)
	s.accounts.requests, err = m.Int64Counter("figwheel.account.requests", otel.WithDescription("requests by client account and whether its quota admitted them"))
	e.Add(err)
	e.Add(gauge(m, "figwheel.version", "", g.Version))
	e.Add(gauge(m, "figwheel.inflight", "", g.InFlight))
	e.Add(counter(m, "figwheel.control.received", "By", g.ControlIn))
	e.Add(counter(m, "figwheel.control.sent", "By", g.ControlOut))
	e.Add(counter(m, "figwheel.platform.calls", "", g.PlatformCall))
	e.Add(counter(m, "figwheel.worker.sent", "", g.Sent))
	e.Add(counter(m, "figwheel.connections.cut", "", g.Cuts))
	e.Add(gauge(m, "figwheel.quota.short", "", g.QuotaShort))
	e.Add(gauge(m, "figwheel.quota.isolated", "", g.QuotaIsolated))
	e.Add(counter(m, "figwheel.quota.refused", "", g.QuotaRefused))
	e.Add(counter(m, "figwheel.quota.messages", "", g.QuotaMessages))
	e.Add(counter(m, "figwheel.quota.failures", "", g.QuotaFailures))
	e.Add(gauge(m, "figwheel.link.backlog", "us", g.LinkBacklog))
	e.Add(gauge(m, "figwheel.link.waiting", "", g.LinkWaiting))
	e.Add(counter(m, "figwheel.link.rejected", "", g.LinkRejected))
	_, err = m.Float64ObservableGauge("figwheel.worker.rate_limit", otel.WithDescription("requests per second that the worker takes, 0 without a limit"),
		otel.WithFloat64Callback(func(_ context.Context, o otel.Float64Observer) error {
			o.Observe(valueOf(g.RateLimit))
			return nil
		}))
	e.Add(err)
	_, err = m.Float64ObservableGauge("figwheel.load_report.age", otel.WithUnit("s"), otel.WithDescription("mean age of the load reports of the instances chosen"),
		otel.WithFloat64Callback(func(_ context.Context, o otel.Float64Observer) error {
			o.Observe(valueOf(g.ReportAge))
			return nil
		}))
	e.Add(err)
	_, err = m.Int64ObservableCounter("figwheel.offers", otel.WithDescription("requests offered to an instance, by result"),
		otel.WithInt64Callback(func(_ context.Context, o otel.Int64Observer) error {
			o.Observe(valueOf(g.OffersAnswered), otel.WithAttributes(attribute.String("result", "answered")))
			o.Observe(valueOf(g.OffersFull), otel.WithAttributes(attribute.String("result", "full")))
			o.Observe(valueOf(g.OffersFailed), otel.WithAttributes(attribute.String("result", "failed")))
			return nil
		}))
	e.Add(err)
	return e.Err()
}

// gauge creates a gauge whose value is read from f.
func gauge(m otel.Meter, name, unit string, f func() int64) error {
	_, err := m.Int64ObservableGauge(name, otel.WithUnit(unit), otel.WithInt64Callback(observe(f)))
	return err
}

// counter creates a counter whose total is read from f.
func counter(m otel.Meter, name, unit string, f func() int64) error {
	_, err := m.Int64ObservableCounter(name, otel.WithUnit(unit), otel.WithInt64Callback(observe(f)))
	return err
}

// valueOf returns the value of f, 0 if that is nil.
func valueOf[N int64 | float64](f func() N) N {
	if f == nil {
		return 0
	}
	return f()
}

// observe returns a callback that reports the value of f.
func observe(f func() int64) otel.Int64Callback {
	return func(_ context.Context, o otel.Int64Observer) error {
		o.Observe(valueOf(f))
		return nil
	}
}

// Handler returns the HTTP handler that serves the metrics to Prometheus.
func (s *Set) Handler() http.Handler { return s.handler }

// RecordCall records one call of the service that took the given time and ended
// with the code c, 0 for a complete answer, and the outcome o.
func (s *Set) RecordCall(service string, c result.Code, o contract.Outcome, took time.Duration) {
	k := callKey{service, c, o}
	v, ok := s.options.Load(k)
	if !ok {
		n := "ok"
		if c != 0 {
			n = c.String()
		}
		v, _ = s.options.LoadOrStore(k, otel.WithAttributeSet(attribute.NewSet(
			attribute.String("service", service),
			attribute.String("code", n),
			attribute.String("outcome", o.String()),
		)))
	}
	p := v.(otel.MeasurementOption)
	s.calls.Add(context.Background(), 1, p)
	s.duration.Record(context.Background(), took.Seconds(), p)
}

// RecordAccount records one request of a client account, and whether its quota admitted
// it. It keeps apart the first accountNamesMax accounts; the others count together.
func (s *Set) RecordAccount(account string, admitted bool) { s.accounts.record(account, admitted) }

// RecordChange records one change that ended with the code c, 0 for an accepted one.
func (s *Set) RecordChange(c result.Code) {
	n := "accepted"
	if c != 0 {
		n = c.String()
	}
	s.changes.Add(context.Background(), 1, otel.WithAttributes(attribute.String("code", n)))
}

// Close stops the collection of metrics.
func (s *Set) Close(x context.Context) error { return metricError.Wrap(s.provider.Shutdown(x)) }
