package site

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	yamlerrors "github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// decoder decodes a YAML tree and collects every problem instead of stopping at
// the first one: a supervisor has a single break to correct the whole file.
type decoder struct {
	file     string
	problems []Problem
}

// field is a key of a mapping with the function that decodes its value.
type field struct {
	name string
	read func(k, v *yaml.Node)
}

// root parses text and returns its top node. It reports a text that is empty or
// not YAML and returns nil for it.
func (d *decoder) root(text string) *yaml.Node {
	var n yaml.Node
	if err := yaml.Unmarshal([]byte(text), &n); err != nil {
		d.problems = append(d.problems, d.syntax(text, err))
		return nil
	}
	if len(n.Content) == 0 {
		d.problems = append(d.problems, Problem{Code: result.Missing, At: Position{d.file, 1, 1}, Text: "the file is empty"})
		return nil
	}
	return n.Content[0]
}

// syntax returns the problem of a text that is not YAML. The decoding library
// reports lines that are off by one for some errors, so line and column are
// taken from another parser.
func (d *decoder) syntax(text string, err error) Problem {
	p := Problem{Code: result.Syntax, At: Position{File: d.file, Line: 1, Column: 1}, Text: err.Error()}
	_, e := parser.ParseBytes([]byte(text), 0)
	var s *yamlerrors.SyntaxError
	if errors.As(e, &s) && s.GetToken() != nil {
		p.At.Line = s.GetToken().Position.Line
		p.At.Column = s.GetToken().Position.Column
		p.Text = "yaml: " + s.GetMessage()
	}
	return p
}

// at returns the position of n.
func (d *decoder) at(n *yaml.Node) Position { return Position{d.file, n.Line, n.Column} }

// fail reports a problem at n.
func (d *decoder) fail(n *yaml.Node, c result.Code, format string, a ...any) {
	d.problems = append(d.problems, Problem{Code: c, At: d.at(n), Text: fmt.Sprintf(format, a...)})
}

// resolve returns the node that n refers to if n is an alias, and n otherwise, so
// that anchors work as in any YAML file.
func resolve(n *yaml.Node) *yaml.Node {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	return n
}

// pairs calls f for each key and value of the mapping n. It reports duplicate keys
// and skips them.
func (d *decoder) pairs(n *yaml.Node, f func(k, v *yaml.Node)) {
	n = resolve(n)
	if n.Kind != yaml.MappingNode {
		d.fail(n, result.WrongType, "expected a mapping")
		return
	}
	seen := make(map[string]int)
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		if l, ok := seen[k.Value]; ok {
			d.fail(k, result.DuplicateKey, "duplicate key %q, first defined at line %d", k.Value, l)
			continue
		}
		seen[k.Value] = k.Line
		f(k, resolve(n.Content[i+1]))
	}
}

// fields decodes the mapping n with one field for each known key and reports
// unknown keys.
func (d *decoder) fields(n *yaml.Node, fs ...field) {
	d.pairs(n, func(k, v *yaml.Node) {
		for _, f := range fs {
			if f.name == k.Value {
				f.read(k, v)
				return
			}
		}
		d.fail(k, result.UnknownKey, "unknown key %q; known: %s", k.Value, names(fs))
	})
}

// names returns the names of fs, separated by commas.
func names(fs []field) string {
	r := make([]string, 0, len(fs))
	for _, f := range fs {
		r = append(r, f.name)
	}
	return strings.Join(r, ", ")
}

// items calls f for each element of the sequence n. It reports any other node.
func (d *decoder) items(n *yaml.Node, f func(v *yaml.Node)) {
	if n.Kind != yaml.SequenceNode {
		d.fail(n, result.WrongType, "expected a list")
		return
	}
	for _, v := range n.Content {
		f(resolve(v))
	}
}

// scalar returns the text of the scalar n. It reports any other node, and null,
// and returns false for it.
func (d *decoder) scalar(n *yaml.Node) (string, bool) {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		d.fail(n, result.WrongType, "expected a single value")
		return "", false
	}
	return n.Value, true
}

// text returns the field name, whose text it decodes into t.
func (d *decoder) text(name string, t *Value[string]) field {
	return field{name, func(_, v *yaml.Node) {
		if s, ok := d.scalar(v); ok {
			*t = Value[string]{s, d.at(v)}
		}
	}}
}

// number returns the field name, whose whole number from low to high it decodes
// into t.
func (d *decoder) number(name string, low, high int, t *Value[int]) field {
	return field{name, func(_, v *yaml.Node) {
		s, ok := d.scalar(v)
		if !ok {
			return
		}
		i, err := strconv.Atoi(s)
		if err != nil {
			d.fail(v, result.BadValue, "%s takes a whole number, not %q", name, s)
			return
		}
		if i < low || i > high {
			d.fail(v, result.OutOfRange, "%s is %d; it takes %d to %d", name, i, low, high)
			return
		}
		*t = Value[int]{i, d.at(v)}
	}}
}

// decimal returns the field name, whose number from low to high it decodes into t.
func (d *decoder) decimal(name string, low, high float64, t *Value[float64]) field {
	return field{name, func(_, v *yaml.Node) {
		s, ok := d.scalar(v)
		if !ok {
			return
		}
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(f) {
			d.fail(v, result.BadValue, "%s takes a number, not %q", name, s)
			return
		}
		if f < low || f > high {
			d.fail(v, result.OutOfRange, "%s is %g; it takes %.0f to %.0f", name, f, low, high)
			return
		}
		*t = Value[float64]{f, d.at(v)}
	}}
}

// boolean returns the field name, whose true or false it decodes into t.
func (d *decoder) boolean(name string, t *Value[bool]) field {
	return field{name, func(_, v *yaml.Node) {
		s, ok := d.scalar(v)
		if !ok {
			return
		}
		if s != "true" && s != "false" {
			d.fail(v, result.BadValue, "%s takes true or false, not %q", name, s)
			return
		}
		*t = Value[bool]{s == "true", d.at(v)}
	}}
}

// duration returns the field name, whose duration from low to high it decodes into
// t.
func (d *decoder) duration(name string, low, high time.Duration, t *Value[time.Duration]) field {
	return field{name, func(_, v *yaml.Node) {
		s, ok := d.scalar(v)
		if !ok {
			return
		}
		u, err := time.ParseDuration(s)
		if err != nil {
			d.fail(v, result.BadValue, "%s takes a duration with its unit, such as 250ms or 2s, not %q", name, s)
			return
		}
		if u < low || u > high {
			d.fail(v, result.OutOfRange, "%s is %s; it takes %s to %s", name, u, low, high)
			return
		}
		*t = Value[time.Duration]{u, d.at(v)}
	}}
}

// list returns the field name, whose list of texts it decodes into t.
func (d *decoder) list(name string, t *Value[[]string]) field {
	return field{name, func(k, v *yaml.Node) {
		r := make([]string, 0, len(v.Content))
		d.items(v, func(n *yaml.Node) {
			if s, ok := d.scalar(n); ok {
				r = append(r, s)
			}
		})
		*t = Value[[]string]{r, d.at(k)}
	}}
}
