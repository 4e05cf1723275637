package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/daemon"
	"figwheel/platform/platformtest"
	"figwheel/settings"
)

// freeAddress returns a loopback address that is free when it returns.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// figwheel runs a command line and returns its output, with standard error after
// standard output, and its exit code.
func figwheel(t *testing.T, args ...string) (string, int) {
	t.Helper()
	x, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	var o, e bytes.Buffer
	c := run(x, args, &o, &e)
	return o.String() + e.String(), c
}

// settingsPaths holds the paths of the settings files by operator address. It
// needs no lock, since the tests of this package do not run in parallel.
var settingsPaths = make(map[string]string)

// startDaemon runs the daemon command with a settings file, as an operator does,
// until the test ends, and returns the operator address of the daemon.
func startDaemon(t *testing.T, site, platform string) string {
	t.Helper()
	a := freeAddress(t)
	s := "Instance: " + site + "-1\nSite: " + site + "\nPlatform: " + platform + "\nOperatorAddress: " + a + "\nLogLevel: Error\nDrainLimit: 1s\n"
	for _, n := range []string{"CallAddress", "LinkAddress", "PeerAddress", "UpstreamAddress"} {
		s += n + ": 127.0.0.1:0\n"
	}
	p := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(p, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	settingsPaths[a] = p
	x, stop := context.WithCancel(context.Background())
	ended := make(chan int, 1)
	go func() { ended <- run(x, []string{"daemon", "--settings", p}, &bytes.Buffer{}, &bytes.Buffer{}) }()
	t.Cleanup(func() {
		stop()
		if c := <-ended; c != exitOK {
			t.Errorf("the daemon ended with exit code %d", c)
		}
	})
	return a
}

// writeFile writes the text to a new file of that name and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

const (
	goodBase = "Organisation: o\nSites: [a, b]\nServices:\n  s: {Deadline: 1s, Slots: 2, Connections: 4}\n"
	badBase  = "Organisation: o\nSites: [a, b]\nRoutes:\n  r: {Service: s}\n"
)

// TestCommandLine runs every command of a supervisor, with good and with bad
// arguments and files, against two daemons. It guards against output and exit
// codes that do not show the outcome.
func TestCommandLine(t *testing.T) {
	p := httptest.NewServer(platformtest.Handler{Store: &platformtest.Store{}})
	t.Cleanup(p.Close)
	d := startDaemon(t, "a", p.URL)
	startDaemon(t, "b", p.URL)
	for end := time.Now().Add(20 * time.Second); ; {
		o, _ := figwheel(t, "status", "--daemon", d)
		if strings.Contains(o, "b     1     0") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the daemons do not know each other: %s", o)
		}
		time.Sleep(20 * time.Millisecond)
	}
	good, bad := writeFile(t, "base.yaml", goodBase), writeFile(t, "base.yaml", badBase)
	more := writeFile(t, "base.yaml", goodBase+"  t: {Deadline: 1s, Slots: 2, Connections: 4}\n")
	overlay := writeFile(t, "b.yaml", "Site: b\nServices:\n  s: {Queue: 7}\n")
	unused := freeAddress(t)
	cases := []struct {
		args string
		code int
		want string // a regular expression
	}{
		{"--help", exitOK, `Exit codes: 0 done`},
		{"submit --help", exitOK, `--on=ON`},
		{"sumbit", exitUsage, `FW5003: command line: expected command but got "sumbit"`},
		{"check " + good, exitOK, `o: 2 sites \(a, b\), no problems`},
		{"check --site b " + good + " " + overlay, exitOK, `Services.s.Queue +7 +b.yaml:3:14`},
		{"check --site c " + good, exitRefused, `FW1010`},
		{"check " + bad, exitRefused, `base.yaml:4:16: FW1008: route r leads to service s, which site a does not have\n.*site b.*\n2 problems`},
		{"check --json " + bad, exitRefused, `^{"Problems":\[{"Code":1008,"At":{"File":"base.yaml","Line":4,"Column":16}`},
		{"check none.yaml", exitUsage, `FW1015`},
		{"submit --daemon D --change c1 --as linh --on 0 " + good, exitOK, `Proposed +version 1 +change c1\n(.*Staging.*\n)+.*Accepted.*\n(.*Activating.*\n)+.*InForce +version 1`},
		{"submit --daemon D --change c1 " + good, exitOK, `InForce +version 1`},
		{"submit --daemon D " + good, exitOK, `Unchanged`},
		{"submit --daemon D " + bad, exitRefused, `FW1008(.*\n)+.*FW1008`},
		{"check --daemon D " + good + " " + overlay, exitOK, `no problems\n(.*\n)*site b, on version 1:\n  \+ Services.s.Queue +7`},
		{"diff --daemon D " + good + " " + overlay, exitOK, `site b, on version 1:\n  \+ Services.s.Queue +7`},
		{"submit --daemon D --change c2 --as hung --on 1 --reason queue --json " + good + " " + overlay, exitOK, `"Step":"InForce"`},
		{"submit --daemon D --on 1 " + more, exitConflict, `FW2002: version 2 of change c2 is in force`},
		{"status --daemon D", exitOK, `version 2 of change c2, as a-1 sees it\nSITE +LIVE +IN FORCE +BEHIND\na +1 +1 +\nb +1 +1`},
		{"status --daemon D --json", exitOK, `"Number":2`},
		{"audit --daemon D", exitOK, `c2 +InForce +version 2 +hung +\d+ ms +b +queue`},
		{"status --daemon " + unused, exitUnreachable, `FW5004`},
		{"submit --daemon " + unused + " " + good, exitUnreachable, `FW5004`},
		{"daemon --settings " + good, exitUsage, `FW5001`},
	}
	for _, c := range cases {
		w := strings.Fields(c.args)
		for i := range w {
			if w[i] == "D" {
				w[i] = d
			}
		}
		o, code := figwheel(t, w...)
		if code != c.code || !regexp.MustCompile(c.want).MatchString(o) {
			t.Errorf("figwheel %s: exit code %d, want %d and %q\n%s", c.args, code, c.code, c.want, o)
		}
	}
	m := metrics(t, d)
	for _, l := range []string{"figwheel_version 2\n", "figwheel_changes_total{code=\"accepted\"} ", "figwheel_control_sent_bytes_total ", "figwheel_platform_calls_total "} {
		if !strings.Contains(m, l) {
			t.Errorf("no %q among the metrics\n%s", l, m)
		}
	}
}

// metrics returns the metrics that a daemon exports to Prometheus.
func metrics(t *testing.T, address string) string {
	t.Helper()
	p, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestSubmitReportsUnknownWhenDaemonEnds submits to a listener that reads the
// submission and closes the connection, as a daemon does that ends at that
// moment. The change may have been made, so submit must not report a failure: the
// outcome is unknown, and the output has the id with which to submit again.
func TestSubmitReportsUnknownWhenDaemonEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1024))
			_ = c.Close()
		}
	}()
	o, code := figwheel(t, "submit", "--daemon", l.Addr().String(), "--change", "c7", writeFile(t, "base.yaml", goodBase))
	if code != exitUnknown || !strings.Contains(o, "--change c7") {
		t.Errorf("exit code %d\n%s", code, o)
	}
}

// TestReloadKeepsDaemonAnswering changes the settings file of a running daemon to
// valid and then to invalid settings and sends SIGHUP each time. It guards against
// a reload that stops the daemon.
func TestReloadKeepsDaemonAnswering(t *testing.T) {
	p := httptest.NewServer(platformtest.Handler{Store: &platformtest.Store{}})
	t.Cleanup(p.Close)
	a := startDaemon(t, "a", p.URL)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, code := figwheel(t, "status", "--daemon", a); code == exitOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the daemon does not answer")
		}
	}
	for _, f := range []func([]byte) []byte{
		func(b []byte) []byte { return append(b, "RetryBurst: 7\n"...) },
		func([]byte) []byte { return []byte("Instance: [\n") },
	} {
		path := settingsPaths[a]
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, f(b), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if o, code := figwheel(t, "status", "--daemon", a); code != exitOK {
			t.Errorf("exit code %d\n%s", code, o)
		}
	}
}

// TestByHandSettingsAreValid guards the settings files of the README's session
// against settings that have been renamed or removed since.
func TestByHandSettingsAreValid(t *testing.T) {
	l, err := filepath.Glob("../../examples/by-hand/*.yaml")
	if err != nil || len(l) != 3 {
		t.Fatal(l, err)
	}
	var got []string
	for _, p := range l {
		s, err := settings.Load(p, nil)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, s.Site)
	}
	if d := cmp.Diff([]string{"beeston", "gunthorpe", "zouch"}, got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestNewRejectsAddressInUse guards against a daemon that starts although another
// listener has its operator address. The error must have the code for that.
func TestNewRejectsAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a := "127.0.0.1:0"
	_, err = daemon.New(daemon.Options{Now: time.Now, Settings: settings.Settings{CallAddress: a, LinkAddress: a, PeerAddress: a, UpstreamAddress: a, OperatorAddress: l.Addr().String()}})
	if err == nil || !strings.Contains(err.Error(), "FW5002") {
		t.Errorf("got %v", err)
	}
}
