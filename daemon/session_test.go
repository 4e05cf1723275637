package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"figwheel/platform/platformtest"
	"figwheel/site"
	"figwheel/store"
)

// session runs the script of one file of testdata/session against a fleet of
// real daemons. A line "> command" is run, and the lines below it are its
// expected output. With FIGWHEEL_UPDATE set, the file is rewritten with the actual
// output.
//
//	fleet SITES INSTANCES          starts daemons, assigned to the sites in turn
//	submit I ID FILES [on N]       submits the files of that name at daemon I
//	race ID FILES ID FILES         submits both at the same time
//	faults NAME...                 sets the faults of the platform
//	kill I / start I / stop I      kills, starts or stops daemon I
//	status                         prints the version that all daemons serve
//	audit                          prints the audit trail
type session struct {
	t     *testing.T
	fleet *fleet
	files map[string]site.Bundle
	out   strings.Builder
	sites int
}

// TestSessions guards against changes of the steps, errors and audit records that
// submitters see: it compares the output of each session with its file.
func TestSessions(t *testing.T) {
	l, err := filepath.Glob("testdata/session/*.txt")
	if err != nil || len(l) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, p := range l {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) { runSession(t, p) })
	}
}

func runSession(t *testing.T, path string) {
	a, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s := &session{t: t, files: make(map[string]site.Bundle)}
	for _, f := range a.Files {
		n, k, _ := strings.Cut(f.Name, "/")
		b := s.files[n]
		v := site.File{Name: k, Text: string(f.Data)}
		if k == "base.yaml" {
			b.Base = v
		} else {
			b.Overlays = append(b.Overlays, v)
		}
		s.files[n] = b
	}
	for l := range strings.Lines(string(a.Comment)) {
		switch {
		case strings.HasPrefix(l, ">"):
			s.out.WriteString(l)
			s.run(strings.Fields(l)[1:])
		case strings.HasPrefix(l, "#"), strings.TrimSpace(l) == "":
			s.out.WriteString(l)
		}
	}
	if os.Getenv("FIGWHEEL_UPDATE") != "" {
		a.Comment = []byte(s.out.String())
		if err := os.WriteFile(path, txtar.Format(a), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if d := cmp.Diff(string(a.Comment), s.out.String()); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func (s *session) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(&s.out, "  "+format+"\n", a...)
}

func (s *session) number(w string) int {
	n, err := strconv.Atoi(w)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *session) run(w []string) {
	switch w[0] {
	case "fleet":
		s.sites = s.number(w[1])
		s.fleet = newFleet(s.t, s.sites, s.number(w[2]))
	case "submit":
		s.submit(w)
	case "race":
		s.race(w)
	case "faults":
		s.faults(w[1:])
	case "kill":
		s.fleet.kill(s.number(w[1]))
	case "stop":
		s.fleet.stop(s.number(w[1]))
	case "start":
		i := s.number(w[1])
		s.fleet.start(i, s.fleet.daemons[i].Settings())
	case "status":
		s.status()
	case "audit":
		s.audit()
	default:
		s.t.Fatalf("unknown command %v", w)
	}
}

func (s *session) submission(id, files string) submission {
	b, ok := s.files[files]
	if !ok {
		s.t.Fatalf("no files %s", files)
	}
	return submission{id: id, submitter: "linh", reason: "test", bundle: b, began: time.Now()}
}

func (s *session) submit(w []string) {
	q := s.submission(w[2], w[3])
	for i := 4; i+1 < len(w); i += 2 {
		if w[i] == "on" {
			q.onNumber = uint64(s.number(w[i+1]))
		}
	}
	for _, p := range s.fleet.submission(s.number(w[1]), q) {
		s.printf("%s", stepText(p))
	}
}

// stepText returns a step as text, without the parts that differ between runs.
func stepText(p progress) string {
	t := p.step
	if p.number > 0 {
		t += fmt.Sprintf(" version %d", p.number)
	}
	if len(p.sites) > 0 && p.step == stepProposed {
		t += " changes " + strings.Join(p.sites, " ")
	}
	if p.err != nil {
		t += " " + p.err.Error()
	}
	return t
}

// race submits two changes at two daemons at the same time. The output does not
// say which of them is accepted, because either may be.
func (s *session) race(w []string) {
	c := make(chan progress)
	for i := range 2 {
		q := s.submission(w[1+2*i], w[2+2*i])
		q.onNumber = s.fleet.daemons[0].View().Snapshot.Number()
		go func() { c <- last(s.fleet.submission(i, q)) }()
	}
	var r [2]progress
	r[0], r[1] = <-c, <-c
	if r[0].step == stepRefused {
		r[0], r[1] = r[1], r[0]
	}
	s.printf("one: %s", stepText(r[0]))
	s.printf("the other: %s %s", r[1].step, r[1].err.Code)
}

func (s *session) faults(w []string) {
	var f platformtest.Faults
	for _, n := range w {
		switch n {
		case "down":
			f.Down = true
		case "slow":
			f.Delay = 100 * time.Millisecond
		case "lose":
			f.LoseAnswers = true
		case "duplicate":
			f.Duplicate = true
		case "crossed":
			f.Crossed = true
		case "none":
		default:
			s.t.Fatalf("unknown fault %s", n)
		}
	}
	s.fleet.store.SetFaults(f)
}

// status waits until all running daemons serve the same version and prints it.
func (s *session) status() {
	var n uint64
	s.fleet.wait("one version everywhere", func() bool {
		n = 0
		same := true
		for i, d := range s.fleet.daemons {
			if s.fleet.stops[i] == nil {
				continue
			}
			v := d.View().Snapshot.Number()
			same = same && (n == 0 || v == n) && v > 0
			n = v
		}
		return same
	})
	s.printf("all serve version %d", n)
}

func (s *session) audit() {
	l, err := store.ListAudit(context.Background(), s.fleet.store, time.Now(), 100)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, a := range l {
		t := fmt.Sprintf("%s %s by %s", a.ChangeID, a.Step, a.Submitter)
		if a.Number > 0 {
			t += fmt.Sprintf(" version %d", a.Number)
		}
		if len(a.SitesChanged) > 0 {
			t += " changes " + strings.Join(a.SitesChanged, " ")
		}
		for _, p := range a.Problems {
			t += " " + p.Code.String()
		}
		s.printf("%s", t)
	}
}
