package daemon

import (
	"testing"
	"time"

	"figwheel/site"
)

// writeAccounts writes a configuration of that number with the accounts.
func (m *managedFleet) writeAccounts(number uint64, accounts ...site.Account) {
	m.t.Helper()
	b, err := site.Table{
		Number:   number,
		Services: []site.Service{{Name: "s", Deadline: time.Second, Slots: 2, Connections: 4}},
		Routes:   []site.Route{{Name: "r", Host: "h.example", PathPrefix: "/", Targets: []site.Split{{Service: "s", Weight: 1}}}},
		Accounts: accounts,
	}.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	m.put(b)
	m.waitServing(number)
}

// messages returns the messages about quotas that all daemons sent.
func (m *managedFleet) messages() int64 {
	var n int64
	for _, d := range m.daemons {
		n += d.quotas.sent.Load()
	}
	return n
}

// TestQuotaHoldsOverAllDaemons guards against daemons that each admit a whole quota, and
// against messages in a fleet without quotas. An account that sends eight times its rate
// at three daemons for some seconds gets its rate, its burst and little more.
func TestQuotaHoldsOverAllDaemons(t *testing.T) {
	m := newManagedFleet(t, 3)
	m.waitServing(1)
	time.Sleep(2 * tickInterval)
	if n := m.messages(); n > 0 {
		t.Fatalf("%d messages about quotas without accounts, want none", n)
	}
	const rate, burst, seconds = 100.0, 100.0, 4
	m.writeAccounts(2, site.Account{Name: "a", Rate: rate, Burst: burst}, site.Account{Name: "free"})
	m.wait("no daemon is isolated", func() bool {
		for _, d := range m.daemons {
			if d.isQuotaIsolated() > 0 {
				return false
			}
		}
		return true
	})
	var admitted, sent int
	for start := time.Now(); time.Since(start) < seconds*time.Second; time.Sleep(2 * time.Millisecond) {
		for ; float64(sent) < 8*rate*time.Since(start).Seconds(); sent++ {
			d := m.daemons[sent%len(m.daemons)]
			if _, ok := d.quotas.node.Admit("a", d.now()); ok {
				admitted++
			}
			if _, ok := d.quotas.node.Admit("free", d.now()); !ok {
				t.Fatal("an account without a limit was rejected")
			}
		}
	}
	if limit := (rate*5+burst)*1.1 + 20; float64(admitted) > limit || float64(admitted) < 0.9*rate*seconds {
		t.Errorf("%d of %d requests admitted in %d s, want %.0f to %.0f", admitted, sent, seconds, 0.9*rate*seconds, limit)
	}
	n := m.messages()
	m.write(3) // without accounts
	m.waitServing(3)
	time.Sleep(2 * tickInterval)
	idle := m.messages()
	time.Sleep(4 * tickInterval)
	if got := m.messages(); n == 0 || got != idle {
		t.Errorf("%d messages with an account, %d after its end, want some and none", n, got-idle)
	}
}
