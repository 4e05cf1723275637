package site

import (
	"fmt"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// Bounds and defaults of the fields of a service.
const (
	deadlineMin     = time.Millisecond
	deadlineMax     = 10 * time.Minute
	slotsMax        = 10_000
	connectionsMax  = 100_000
	queueMax        = 100_000
	retryPercentMax = 100

	retryPercentDefault = 10
)

// Operation is a group of requests to a service: those with one of the methods,
// or any method if there are none, and with a path under Path.
type Operation struct {
	Methods []string
	Path    string
}

// String returns the methods and the path.
func (o Operation) String() string {
	if len(o.Methods) == 0 {
		return "any " + o.Path
	}
	return strings.Join(o.Methods, ",") + " " + o.Path
}

// service is a service as one file defines it, or as merged from base and overlay.
type service struct {
	at            Position
	deadline      Value[time.Duration]
	slots         Value[int]
	connections   Value[int]
	queue         Value[int]
	retryPercent  Value[int]
	notIdempotent Value[[]Operation]
}

// service decodes the service with key k and value n.
func (d *decoder) service(k, n *yaml.Node) service {
	s := service{at: d.at(k)}
	d.fields(n,
		d.duration("Deadline", deadlineMin, deadlineMax, &s.deadline),
		d.number("Slots", 1, slotsMax, &s.slots),
		d.number("Connections", 1, connectionsMax, &s.connections),
		d.number("Queue", 0, queueMax, &s.queue),
		d.number("RetryPercent", 0, retryPercentMax, &s.retryPercent),
		field{"NotIdempotent", func(k, v *yaml.Node) {
			s.notIdempotent = Value[[]Operation]{d.operations(v), d.at(k)}
		}},
	)
	return s
}

// operations decodes a list of operations. The default of Path is /.
func (d *decoder) operations(n *yaml.Node) []Operation {
	r := make([]Operation, 0, len(n.Content))
	d.items(n, func(v *yaml.Node) {
		var m Value[[]string]
		var p Value[string]
		d.fields(v, d.list("Methods", &m), d.text("Path", &p))
		d.methods(v, m)
		o := Operation{Methods: m.V, Path: p.V}
		if o.Path == "" {
			o.Path = "/"
		}
		if !strings.HasPrefix(o.Path, "/") {
			d.fail(v, result.BadValue, "Path %q does not start with /", o.Path)
		}
		r = append(r, o)
	})
	return r
}

// methods reports at n the methods in m that are not HTTP methods in upper case.
func (d *decoder) methods(n *yaml.Node, m Value[[]string]) {
	for _, s := range m.V {
		if s == "" || s != strings.ToUpper(s) || strings.ContainsAny(s, " \t/") {
			d.fail(n, result.BadValue, "%q is not an HTTP method", s)
		}
	}
}

// mergedOver returns s with its position and its unset values taken from b.
func (s service) mergedOver(b service) service {
	return service{
		at:            b.at,
		deadline:      s.deadline.Or(b.deadline),
		slots:         s.slots.Or(b.slots),
		connections:   s.connections.Or(b.connections),
		queue:         s.queue.Or(b.queue),
		retryPercent:  s.retryPercent.Or(b.retryPercent),
		notIdempotent: s.notIdempotent.Or(b.notIdempotent),
	}
}

// check reports required values that the merged service does not set, and fewer
// connections than slots.
func (s service) check(name, site string, c *checker) {
	if !s.deadline.IsSet() {
		c.fail(s.at, result.Missing, "service %s has no Deadline at site %s", name, site)
	}
	if !s.slots.IsSet() {
		c.fail(s.at, result.Missing, "service %s has no Slots at site %s", name, site)
	}
	if !s.connections.IsSet() {
		c.fail(s.at, result.Missing, "service %s has no Connections at site %s", name, site)
		return
	}
	if s.slots.IsSet() && s.connections.V < s.slots.V {
		c.fail(s.connections.At, result.OutOfRange, "service %s has %d Connections for %d Slots at site %s; each slot needs one", name, s.connections.V, s.slots.V, site)
	}
}

// Service is the contract of one service at a site.
type Service struct {
	Name          string
	Deadline      time.Duration
	Slots         int         // requests that one worker runs at a time
	Connections   int         // connections to one worker
	Queue         int         // requests that wait for a slot
	RetryPercent  int         // retry budget in percent of the requests, 0 is that of the daemon's settings
	NotIdempotent []Operation `json:",omitempty"`
	HealthPath    string      `json:",omitempty"` // path of a worker's health check; may be empty
}

// compile returns the compiled service. The default of Queue is Slots, that of
// RetryPercent is retryPercentDefault.
func (s service) compile(name string) Service {
	r := Service{
		Name:          name,
		Deadline:      s.deadline.V,
		Slots:         s.slots.V,
		Connections:   s.connections.V,
		Queue:         s.slots.V,
		RetryPercent:  retryPercentDefault,
		NotIdempotent: s.notIdempotent.V,
	}
	if s.queue.IsSet() {
		r.Queue = s.queue.V
	}
	if s.retryPercent.IsSet() {
		r.RetryPercent = s.retryPercent.V
	}
	return r
}

// lines returns the values of the service that are set, one line for each.
func (s service) lines(name string) []Line {
	l := lineList{prefix: "Services." + name + "."}
	addLine(&l, "Deadline", s.deadline)
	addLine(&l, "Slots", s.slots)
	addLine(&l, "Connections", s.connections)
	addLine(&l, "Queue", s.queue)
	addLine(&l, "RetryPercent", s.retryPercent)
	addLine(&l, "NotIdempotent", s.notIdempotent)
	return l.lines
}

// Line is one value of a merged configuration and the position at which it is set.
type Line struct {
	Key   string
	Value string
	At    Position
}

// lineList collects lines whose keys start with prefix.
type lineList struct {
	prefix string
	lines  []Line
}

// addLine adds a line for v to l if v is set.
func addLine[T any](l *lineList, name string, v Value[T]) {
	if v.IsSet() {
		l.lines = append(l.lines, Line{l.prefix + name, fmt.Sprint(v.V), v.At})
	}
}
