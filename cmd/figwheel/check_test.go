package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	managedInForce = `{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":1,"idle_timeout_s":60},
"listeners":[{"hostname":"h.example","rule_set":[
{"name":"all","route_kind":"idempotent","goal_s":1,"match":{"path_prefix":"/"},"route_action":{"service":"s","timeout_s":2,"max_attempts":2}}]}],
"clusters":[{"name":"s","health_path":"/health","max_conns":10}]}`
	managedNext = `{"version":"r9","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":1,"idle_timeout_s":60},
"listeners":[{"hostname":"h.example","rule_set":[
{"name":"all","route_kind":"idempotent","goal_s":3,"match":{"path_prefix":"/"},"route_action":{"service":"s","timeout_s":2,"max_attempts":2}},
{"name":"late","route_kind":"idempotent","match":{"path_prefix":"/"},"route_action":{"service":"s","timeout_s":2}},
{"name":"lost","route_kind":"idempotent","match":{"path_prefix":"/lost/"},"route_action":{"service":"gone","timeout_s":2}}]}],
"clusters":[{"name":"s","health_path":"/health","max_conns":10},{"name":"t"}]}`
)

// TestCheckBeforeSending guards against a check whose output or exit code lets a
// configuration pass that would not do what it says, or refuses one that does.
func TestCheckBeforeSending(t *testing.T) {
	inForce, next := writeFile(t, "inforce.json", managedInForce), writeFile(t, "next.json", managedNext)
	broken := writeFile(t, "broken.json", `{"version":"seven"}`)
	const route = "Organisation: o\nSites: [a]\nServices:\n  s: {Deadline: 1s, Slots: 2, Connections: 4}\nRoutes:\n  r: {Host: h.example, PathPrefix: /, Service: s}\n"
	good, idle := writeFile(t, "base.yaml", route), writeFile(t, "base.yaml", goodBase)
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"nothing to say", []string{"--managed", inForce}, exitOK, "version 7: 1 routes, 1 services, 0 accounts, 0 findings\n"},
		{"no difference", []string{"--managed", inForce, "--against", inForce}, exitOK, "version 7: 1 routes, 1 services, 0 accounts, 0 findings\nno changes to version 7\n"},
		{"errors, warnings and differences", []string{"--managed", next, "--against", inForce}, exitRefused, `version 9: 3 routes, 2 services, 0 accounts, 4 findings
error: next.json: FW1008: route lost leads to service "gone", which the configuration does not have
error: route late: FW1009: it can never match: route all has the same host "h.example" and prefix "/" and takes all its requests
warning: route all: FW1007: its goal of 3s is over its timeout of 2s
warning: service t: FW1006: no route leads to it
on version 7:
  - Number                       7
  + Number                       9
  - Routes.h.example/ all        to [{s 1}], methods [], headers [], repeat 1, timeout 2s, goal 1s, attempts 2, rank 0, closed 0
  + Routes.h.example/ all        to [{s 1}], methods [], headers [], repeat 1, timeout 2s, goal 3s, attempts 2, rank 0, closed 0
  + Routes.h.example/ late       to [{s 1}], methods [], headers [], repeat 1, timeout 2s, goal 0s, attempts 0, rank 0, closed 0
  + Routes.h.example/lost/ lost  to [], methods [], headers [], repeat 1, timeout 2s, goal 0s, attempts 0, rank 0, closed 1008
  + Services.t                   {Name:t Deadline:0s Slots:0 Connections:0 Queue:0 RetryPercent:0 NotIdempotent:[] HealthPath:}
`},
		{"as JSON", []string{"--json", "--managed", next}, exitRefused, `{"Number":9,"Findings":[{"Code":1008,"Entry":"next.json","Text":"route lost leads to service \"gone\", which the configuration does not have","Error":true},{"Code":1009,"Entry":"route late","Text":"it can never match: route all has the same host \"h.example\" and prefix \"/\" and takes all its requests","Error":true},{"Code":1007,"Entry":"route all","Text":"its goal of 3s is over its timeout of 2s","Error":false},{"Code":1006,"Entry":"service t","Text":"no route leads to it","Error":false}]}
`},
		{"own format", []string{good}, exitOK, "o: 1 sites (a), no problems\n"},
		{"own format, warnings", []string{idle}, exitOK, "o: 2 sites (a, b), no problems\nsite a: warning: service s: FW1006: no route leads to it\nsite b: warning: service s: FW1006: no route leads to it\n"},
		{"warnings, strict", []string{"--strict", idle}, exitRefused, "o: 2 sites (a, b), no problems\nsite a: warning: service s: FW1006: no route leads to it\nsite b: warning: service s: FW1006: no route leads to it\n"},
	} {
		o, code := figwheel(t, append([]string{"check"}, c.args...)...)
		if d := cmp.Diff(c.want, o); d != "" || code != c.code {
			t.Errorf("%s: exit code %d, want %d (-want +got)\n%s", c.name, code, c.code, d)
		}
	}
	for args, code := range map[string]int{
		"--managed " + broken:                   exitRefused,
		"--managed none.json":                   exitUsage,
		"":                                      exitUsage,
		"--managed " + next + " " + good:        exitUsage,
		"--against " + next + " " + good:        exitUsage,
		"--daemon 127.0.0.1:1 " + good:          exitUnreachable,
		"--managed " + next + " --against none": exitUsage,
	} {
		if o, g := figwheel(t, append([]string{"check"}, strings.Fields(args)...)...); g != code {
			t.Errorf("check %s: exit code %d, want %d: %s", args, g, code, o)
		}
	}
}
