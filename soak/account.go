package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"figwheel/platform/platformtest"
)

// The accounts. The open account has no quota. Callers of the metered account stay
// within its quota but in a flood; those of the small one always send more.
const (
	openAccount    = "open"
	meteredAccount = "metered"
	smallAccount   = "small"
)

// quotas are the quotas of the accounts that have one, in requests.
var quotas = map[string]struct{ perSecond, burst float64 }{
	meteredAccount: {perSecond: 80, burst: 40},
	smallAccount:   {perSecond: 8, burst: 8},
}

// The bounds on what daemons admit of an account, and on when they follow a change of keys.
const (
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaSlack  = 20.0 // requests
	keyTimeMax  = 2500 * time.Millisecond
)

const (
	meteredThinkTimeMax = 600 * time.Millisecond
	smallThinkTimeMax   = 600 * time.Millisecond
	spareThinkTimeMax   = 200 * time.Millisecond
	floodThinkTimeMax   = 20 * time.Millisecond
	floodersPerDaemon   = 2
	requestsPipelined   = 3 // sent together on one connection
)

// caller is a caller of one daemon.
type caller struct {
	node         *node
	account      string
	spareKey     bool // it uses the spare key of the account, and the one before it
	pipelined    int  // number of requests that it sends together, 0 if it awaits each answer
	thinkTimeMax time.Duration
}

// accountCallers returns the callers of n beside those that send most of the traffic.
func accountCallers(n *node) []caller {
	return []caller{
		{node: n, account: meteredAccount, pipelined: requestsPipelined, thinkTimeMax: meteredThinkTimeMax},
		{node: n, account: smallAccount, thinkTimeMax: smallThinkTimeMax},
		{node: n, account: openAccount, spareKey: true, thinkTimeMax: spareThinkTimeMax},
	}
}

// keyOf returns the key that an account keeps in all versions.
func keyOf(account string) string { return platformtest.KeyPrefix + account }

// spareKeyOf returns the spare key with the number i, which counts from 1. The key
// with the number 0 is in no version.
func spareKeyOf(i int) string { return fmt.Sprintf("%sspare-%d", platformtest.KeyPrefix, i) }

// withAccounts returns the configuration b with the accounts and the spare key with the
// number i.
func withAccounts(b []byte, i int) ([]byte, error) {
	l := []platformtest.Tenant{{Name: openAccount, Keys: []string{keyOf(openAccount), spareKeyOf(i)}}}
	for _, a := range []string{meteredAccount, smallAccount} {
		l = append(l, platformtest.Tenant{Name: a, Keys: []string{keyOf(a)}, Rate: quotas[a].perSecond, Burst: quotas[a].burst})
	}
	return platformtest.WithTenants(b, l...)
}

// flood sends many requests of the metered account to all daemons for the time t.
func (e *environment) flood(x context.Context, t time.Duration) {
	y, stop := context.WithTimeout(x, t)
	defer stop()
	var all sync.WaitGroup
	for i := range floodersPerDaemon * len(e.nodes) {
		all.Go(func() {
			k := caller{node: e.nodes[i/floodersPerDaemon], account: meteredAccount, thinkTimeMax: floodThinkTimeMax}
			e.runCaller(y, rand.New(rand.NewPCG(uint64(t), uint64(i))), k)
		})
	}
	all.Wait()
}

// chooseSpareKey gives the request the spare key of the newest version or the one
// before it, and notes whether that must not open anything any more.
func (e *environment) chooseSpareKey(s *request, n *node, newest bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.spareKeys)
	s.key = spareKeyOf(i)
	if newest {
		return
	}
	s.key = spareKeyOf(i - 1)
	s.keyMustBeGone = i == 1 || s.sentAt.Sub(e.spareKeys[i-1]) > keyTimeMax && n.isInTouchSince(s.sentAt)
}

// isKnown reports whether the daemon must know the key of an answered request. One that
// is in every version it knows also out of touch; the spare key, in touch while it is
// that of the newest version.
func (e *environment) isKnown(s request, inTouch bool) bool {
	if s.key == keyOf(s.account) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.spareKeys)
	return inTouch && s.key == spareKeyOf(i) && s.sentAt.Sub(e.spareKeys[i-1]) > keyTimeMax
}

// beginOutage notes which daemons the step takes out of touch, beside those whose
// process it ends. The function that it returns notes the end.
func (e *environment) beginOutage(s Step) func() {
	var l []*node
	switch s.Kind {
	case StoreDown, StoreRefuses, StoreLoses, StoreCopy:
		l = e.nodes
	case Pause, LinkSlow, LinkSilent, LinkSilentTo, LinkSilentFrom, LinkReset:
		l = e.nodes[s.Target : s.Target+1]
	}
	note := func(by int) {
		for _, n := range l {
			n.mu.Lock()
			n.outages, n.outageEnd = n.outages+by, time.Now()
			n.mu.Unlock()
		}
	}
	note(1)
	return func() { note(-1) }
}

// isInTouchSince reports whether the daemon runs and has been in touch with the store
// from faultFreeTime before t on.
func (n *node) isInTouchSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.outages == 0 && !n.stopping && t.Sub(n.outageEnd) >= faultFreeTime && t.Sub(n.startedAt) >= faultFreeTime
}

// pipeline is the connection of a caller that sends several requests together. The zero
// value is not connected.
type pipeline struct {
	conn   net.Conn
	reader *bufio.Reader
}

// close closes the connection, if there is one.
func (p *pipeline) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// callPipelined sends the requests together and returns their answers in order. Those
// behind an answer that closes the connection have none and count as interrupted.
func (e *environment) callPipelined(p *pipeline, n *node, l []request) []answer {
	answers := make([]answer, len(l))
	end := time.Now().Add(2 * callTimeout)
	var b bytes.Buffer
	var sent []*http.Request
	for _, s := range l {
		e.checker.recordSent(s)
		method, path, body := s.content()
		q, err := platformtest.NewRequest(context.Background(), method, n.callAddress, host, path, s.id, callTimeout, body)
		if err != nil {
			return answers
		}
		platformtest.SetKey(q, s.key)
		if err := q.Write(&b); err != nil {
			return answers
		}
		sent = append(sent, q)
	}
	if p.conn == nil {
		c, err := net.DialTimeout("tcp", n.callAddress, callTimeout)
		if err != nil {
			return answers
		}
		p.conn, p.reader = c, bufio.NewReader(c)
	}
	_ = p.conn.SetDeadline(end) // fails only if the connection is closed, as do the calls below
	if _, err := p.conn.Write(b.Bytes()); err != nil {
		p.close()
		return answers
	}
	for i, q := range sent {
		h, err := http.ReadResponse(p.reader, q)
		if err == nil {
			answers[i], err = readAnswer(h, l[i])
			_ = h.Body.Close()
		}
		if err != nil {
			answers[i].interrupted = time.Now().Before(end)
		}
		if err != nil || h.Close {
			for j := i + 1; j < len(l); j++ {
				answers[j].interrupted = time.Now().Before(end)
			}
			p.close()
			break
		}
	}
	return answers
}

// checkAccounts checks the accounts of all runs, and those that ran against the quotas.
// Repeated runs of a request count once against the quota.
func (c *Checker) checkAccounts(runs []platformtest.Run) {
	starts := make(map[string][]time.Time)
	counted := make(map[string]bool)
	for _, n := range runs {
		s := c.sent[n.ID]
		if n.SawKey {
			c.recordViolation(AccountIsRight, "%s of %s came with a key", n.ID, s.account)
		}
		if !slices.Equal(n.Tenants, []string{s.account}) {
			c.recordViolation(AccountIsRight, "%s of %s came as %q", n.ID, s.account, n.Tenants)
		}
		if s.keyMustBeGone {
			c.recordViolation(KeyIsGone, "%s with the key %s, sent to %s at %s, ran", s.id, s.key, s.daemon, s.sentAt.Format(time.RFC3339Nano))
		}
		if !counted[n.ID] {
			starts[s.account] = append(starts[s.account], n.At)
		}
		counted[n.ID] = true
	}
	for a, q := range quotas {
		limit := (q.perSecond*quotaWindow.Seconds()+q.burst)*quotaFactor + quotaSlack
		n, end := peak(starts[a], quotaWindow)
		c.peaks[a] = n
		if float64(n) > limit {
			c.recordViolation(QuotaHolds, "%d requests of %s ran in the %s until %s, at most %.0f may", n, a, quotaWindow, end.Format(time.RFC3339Nano), limit)
		}
	}
}

// checkLogs checks that the logs of the daemons hold no key.
func (e *environment) checkLogs() error {
	for _, n := range e.nodes {
		b, err := os.ReadFile(e.logPath(n))
		if err != nil {
			return err
		}
		if i := bytes.Index(b, []byte(platformtest.KeyPrefix)); i >= 0 {
			e.checker.recordViolation(KeyIsNotLogged, "%s at byte %d", e.logPath(n), i)
		}
	}
	return nil
}

// peak returns the most of the times that lie within one window of the length w, and the
// last of them.
func peak(times []time.Time, w time.Duration) (int, time.Time) {
	l := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	var n, first int
	var end time.Time
	for i, t := range l {
		for t.Sub(l[first]) > w {
			first++
		}
		if i-first+1 > n {
			n, end = i-first+1, t
		}
	}
	return n, end
}
