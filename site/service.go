package site

import (
	"fmt"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// Bounds of a service's fields.
const (
	deadlineMin     = time.Millisecond
	deadlineMax     = 10 * time.Minute
	slotsMax        = 10_000
	connectionsMax  = 100_000
	queueMax        = 100_000
	retryPercentMax = 100

	defaultRetryPercent = 10
)

// Operation is a group of requests of a service: those of any of the methods
// (all when there are none) whose path starts with Path.
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

// service is a service as one file states it, or as the files together do.
type service struct {
	at            Position
	deadline      Value[time.Duration]
	slots         Value[int]
	connections   Value[int]
	queue         Value[int]
	retryPercent  Value[int]
	notIdempotent Value[[]Operation]
}

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

// methods checks that HTTP methods are written as they are sent.
func (d *decoder) methods(n *yaml.Node, m Value[[]string]) {
	for _, s := range m.V {
		if s == "" || s != strings.ToUpper(s) || strings.ContainsAny(s, " \t/") {
			d.fail(n, result.BadValue, "%q is not an HTTP method", s)
		}
	}
}

// over returns s with what it leaves open taken from b.
func (s service) over(b service) service {
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

// check reports what the merged service lacks.
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

// Service is what a site promises the callers of one service.
type Service struct {
	Name          string
	Deadline      time.Duration
	Slots         int
	Connections   int
	Queue         int
	RetryPercent  int
	NotIdempotent []Operation `json:",omitempty"`
	HealthPath    string      `json:",omitempty"` // where a worker tells its health; may be empty
}

// compile fills what was left open: a queue as long as the slots.
func (s service) compile(name string) Service {
	r := Service{
		Name:          name,
		Deadline:      s.deadline.V,
		Slots:         s.slots.V,
		Connections:   s.connections.V,
		Queue:         s.slots.V,
		RetryPercent:  defaultRetryPercent,
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

// lines describes the service for people, one line a value with its source.
func (s service) lines(name string) []Line {
	l := lister{prefix: "Services." + name + "."}
	add(&l, "Deadline", s.deadline)
	add(&l, "Slots", s.slots)
	add(&l, "Connections", s.connections)
	add(&l, "Queue", s.queue)
	add(&l, "RetryPercent", s.retryPercent)
	add(&l, "NotIdempotent", s.notIdempotent)
	return l.lines
}

// Line is one value of a merged configuration and the place that gave it.
type Line struct {
	Key   string
	Value string
	At    Position
}

type lister struct {
	prefix string
	lines  []Line
}

func add[T any](l *lister, name string, v Value[T]) {
	if v.IsSet() {
		l.lines = append(l.lines, Line{l.prefix + name, fmt.Sprint(v.V), v.At})
	}
}
