package caller

import (
	"net/http"
	"time"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/result"
)

// Quota limits the requests that the callers of each client account may send.
type Quota interface {
	// Admit counts a request of the account at now and reports whether it is within
	// the quota. If it is not, the caller should return after retryAfter.
	Admit(account string, now time.Time) (retryAfter time.Duration, ok bool)
	// Refund takes back the count of a request that Admit admitted and that was not run.
	Refund(account string, now time.Time)
}

// identify sets the client account of the request, which has the keys k: the values of
// its key header. The error is UnknownAccount if the configuration has accounts, the
// route is not public and k is not one key of an account.
func (c *call) identify(k []string) error {
	s := c.view.Snapshot
	if !s.HasAccounts() {
		return nil
	}
	if len(k) == 1 {
		if a, ok := s.AccountOf(k[0]); ok {
			c.account = a
			return nil
		}
	}
	if c.route.Public {
		return nil
	}
	return result.New(result.UnknownAccount, "route %s needs the key of a client account at version %s", c.route.Name, c.view.Version())
}

// accountName returns the name of the client account of the request, empty for none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// rank returns the rank of the request in admission. The rank of the client account goes
// before that of the route; a request without an account, or of one without a rank, counts
// as one of the highest account rank, so that its route alone decides.
func (c *call) rank() int {
	if !c.view.Snapshot.HasAccounts() {
		return c.route.Rank
	}
	n := 0
	if c.account != nil && c.account.Rank != nil {
		n = *c.account.Rank
	}
	return contract.AccountRank(n, c.route.Rank)
}

// takeQuota counts the request at now against the quota of its client account. Its
// result is QuotaExceeded if the quota is used up. Retries by this daemon are not
// counted again.
func (h *Handler) takeQuota(c *call, now time.Time) hop.Result {
	if h.Quota == nil || c.account == nil || c.account.Rate <= 0 || c.route.Public {
		return hop.Result{}
	}
	d, ok := h.Quota.Admit(c.account.Name, now)
	if !ok {
		c.quotaWait = max(d, retryAfterMin)
		return hop.NotRun(result.QuotaExceeded, "the quota of client account "+c.account.Name+" is used up")
	}
	c.isCounted = true
	return hop.Result{}
}

// settleQuota takes back the count of a request that ended with the result f and was
// not run.
func (h *Handler) settleQuota(c *call, f hop.Result) {
	if c.isCounted && f.Outcome == contract.NotRun {
		h.Quota.Refund(c.account.Name, h.Now())
	}
}

// setAccount adds the name of the client account to the headers for the worker of this
// daemon and for other daemons.
func (c *call) setAccount(names contract.Headers) {
	if c.account == nil {
		return
	}
	c.linkHeaders = append(c.linkHeaders, hop.Field{Name: contract.AccountHeader, Value: c.account.Name})
	c.workerHeaders = appendAccount(c.workerHeaders, names, c.account.Name)
}

// forwardedAccount returns the headers l for the worker with the name of the client
// account that the daemon which forwarded r gives, if any. Only a daemon can: what a
// caller sends in this header is never forwarded.
func forwardedAccount(l []hop.Field, names contract.Headers, r *http.Request) []hop.Field {
	if a := r.Header.Get(contract.AccountHeader); a != "" {
		return appendAccount(l, names, a)
	}
	return l
}

// appendAccount appends the header with the name of the client account to l.
func appendAccount(l []hop.Field, names contract.Headers, account string) []hop.Field {
	if names.Account == "" {
		return l
	}
	return append(l, hop.Field{Name: names.Account, Value: account})
}
