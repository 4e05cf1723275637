package site

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// findable returns a table without findings, to be changed by a test.
func findable() Table {
	return Table{
		Number:   1,
		Limits:   Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute},
		Services: []Service{{Name: "s", Deadline: 5 * time.Second}, {Name: "t"}},
		Routes: []Route{
			{Name: "r", Host: "h.example", PathPrefix: "/", Targets: []Split{{"s", 1}}, Timeout: 2 * time.Second, Goal: time.Second, Attempts: 2},
			{Name: "longer", Host: "h.example", PathPrefix: "/a/", Targets: []Split{{"s", 1}, {"t", 3}}, Timeout: time.Second},
			{Name: "posts", Host: "h.example", PathPrefix: "/a/", Methods: []string{"POST"}, Targets: []Split{{"t", 1}}, Timeout: time.Second},
			{Name: "other", Host: "i.example", PathPrefix: "/", Targets: []Split{{"t", 1}}, Timeout: time.Second},
		},
		Accounts: []Account{{Name: "a", Keys: []KeyHash{HashKey("1")}, Rate: 2, Burst: 4}, {Name: "b", Keys: []KeyHash{HashKey("2")}}},
	}
}

// TestFindings guards against a check that passes a configuration whose entries can never
// match or whose limits contradict each other, and against one that objects to a common
// configuration, which nobody would read any more.
func TestFindings(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *Table)
		want   []string
	}{
		"nothing wrong":            {func(*Table) {}, nil},
		"unknown service":          {func(t *Table) { t.Routes[3].Targets = []Split{{"u", 1}} }, []string{`error: routes: FW1008: route other leads to service "u", which the configuration does not have`}},
		"closed by its decoder":    {func(t *Table) { t.Routes[3] = t.Routes[3].WithClosed(1005) }, nil},
		"split of weight 0":        {func(t *Table) { t.Routes[1].Targets[1].Weight = 0 }, []string{"warning: route longer: FW1007: service t has the weight 0 and gets no requests"}},
		"all weights 0":            {func(t *Table) { t.Routes[1].Targets = []Split{{"s", 0}, {"t", 0}} }, []string{"error: routes: FW1006: route longer has no target with a weight above 0", "warning: route longer: FW1007: service s has the weight 0 and gets no requests", "warning: route longer: FW1007: service t has the weight 0 and gets no requests"}},
		"service twice in a split": {func(t *Table) { t.Routes[1].Targets[1].Service = "s" }, []string{"warning: route longer: FW1003: service s is listed twice; its weights add up"}},
		"service without a route":  {func(t *Table) { t.Services = append(t.Services, Service{Name: "u"}) }, []string{"warning: service u: FW1006: no route leads to it"}},
		"service twice":            {func(t *Table) { t.Services = append(t.Services, Service{Name: "t"}) }, []string{"error: service t: FW1003: it is defined twice; the last definition counts"}},
		"goal over timeout":        {func(t *Table) { t.Routes[0].Goal = 3 * time.Second }, []string{"warning: route r: FW1007: its goal of 3s is over its timeout of 2s"}},
		"timeout over deadline":    {func(t *Table) { t.Routes[0].Timeout = 6 * time.Second }, []string{"warning: route r: FW1007: its timeout of 6s is over the deadline of service s, 5s, which counts"}},
		"attempts without time":    {func(t *Table) { t.Routes[3].Timeout, t.Routes[3].Attempts = 0, 3 }, []string{"warning: route other: FW1006: 3 attempts without a timeout of the route or a deadline of its services"}},
		"too short attempts":       {func(t *Table) { t.Routes[3].Timeout, t.Routes[3].Attempts = 9*time.Millisecond, 2 }, []string{"warning: route other: FW1007: 2 attempts in a timeout of 9ms leave less than 5ms for each"}},
		"negative attempts":        {func(t *Table) { t.Routes[3].Attempts = -1 }, []string{"error: route other: FW1007: -1 attempts"}},
		"shadowed": {func(t *Table) {
			t.Routes[1].Name, t.Routes[3] = "longer", Route{Name: "late", Host: "h.example", PathPrefix: "/a/", Targets: t.Routes[1].Targets}
		}, []string{`error: route late: FW1009: it can never match: route longer has the same host "h.example" and prefix "/a/" and takes all its requests`}},
		"shadowed by one method": {func(t *Table) {
			t.Routes = append(t.Routes, Route{Name: "late", Host: "h.example", PathPrefix: "/a/", Methods: []string{"POST"}, Targets: t.Routes[0].Targets})
		}, []string{`error: route late: FW1009: it can never match: route posts has the same host "h.example" and prefix "/a/" and takes all its requests`}},
		"not shadowed, more headers": {func(t *Table) {
			t.Routes = append(t.Routes, Route{Name: "late", Host: "h.example", PathPrefix: "/a/", Headers: []Header{{"X", "1"}}, Targets: t.Routes[0].Targets})
		}, nil},
		"host with a port":       {func(t *Table) { t.Routes[3].Host = "i.example:80" }, []string{`warning: route other: FW1005: no request has the host "i.example:80": hosts are in lower case, without a port and without patterns`}},
		"prefix without a slash": {func(t *Table) { t.Routes[3].PathPrefix = "a" }, []string{`error: route other: FW1005: no path begins with the prefix "a"`}},
		"small headers":          {func(t *Table) { t.Limits.HeaderBytes = 100 }, []string{"warning: limits: FW1007: headers of 100 bytes are too small for common requests, which need 1024"}},
		"header time over idle":  {func(t *Table) { t.Limits.IdleTime = time.Millisecond }, []string{"warning: limits: FW1007: callers may take 1s for headers, but are idle after 1ms"}},
		"negative limit":         {func(t *Table) { t.Limits.BodyBytes = -1 }, []string{"error: limits: FW1007: a limit is negative"}},
		"key of two accounts":    {func(t *Table) { t.Accounts[1].Keys = t.Accounts[0].Keys }, []string{"error: account b: FW1003: one of its keys is also a key of account a"}},
		"account without keys":   {func(t *Table) { t.Accounts[1].Keys = nil }, []string{"warning: account b: FW1006: it has no key, so that no caller belongs to it"}},
		"account twice":          {func(t *Table) { t.Accounts[1].Name = "a" }, []string{"error: account a: FW1003: its name is empty or that of another account"}},
		"rate below a request":   {func(t *Table) { t.Accounts[0].Rate = 0.1 }, []string{"warning: account a: FW1007: its rate of 0.1 a second admits less than one request in 5s"}},
		"burst below a request":  {func(t *Table) { t.Accounts[0].Burst = 0.5 }, []string{"warning: account a: FW1007: its burst of 0.5 is below one request"}},
		"burst without a rate":   {func(t *Table) { t.Accounts[0].Rate = 0 }, []string{"warning: account a: FW1007: its burst of 4 has no effect without a rate"}},
		"negative rate":          {func(t *Table) { t.Accounts[0].Rate = -1 }, []string{"error: account a: FW1007: its rate or burst is negative"}},
	} {
		t.Run(name, func(t *testing.T) {
			v := findable()
			c.change(&v)
			var got []string
			for _, f := range v.Findings() {
				got = append(got, f.String())
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestChanges guards against a change that the comparison misses, and against a key of a
// client account that it shows.
func TestChanges(t *testing.T) {
	o, n := findable(), findable()
	n.Number = 2
	n.Routes[0].Timeout = time.Second
	n.Routes = n.Routes[:3]
	n.Accounts[0].Keys = []KeyHash{HashKey("3")}
	got := n.Changes(o)
	if len(n.Changes(n)) != 0 {
		t.Errorf("a table differs from itself: %+v", n.Changes(n))
	}
	want := []Change{
		{"Accounts.a.Keys.4e074085", "", "held"},
		{"Accounts.a.Keys.6b86b273", "held", ""},
		{"Number", "1", "2"},
		{"Routes.h.example/ r", "to [{s 1}], methods [], headers [], repeat 0, timeout 2s, goal 1s, attempts 2, rank 0, closed 0", "to [{s 1}], methods [], headers [], repeat 0, timeout 1s, goal 1s, attempts 2, rank 0, closed 0"},
		{"Routes.i.example/ other", "to [{t 1}], methods [], headers [], repeat 0, timeout 1s, goal 0s, attempts 0, rank 0, closed 0", ""},
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
