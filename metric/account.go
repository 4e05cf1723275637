package metric

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	otel "go.opentelemetry.io/otel/metric"
)

const (
	// accountNamesMax bounds the client accounts that metrics tell apart: each is a
	// time series of every daemon.
	accountNamesMax = 100
	// accountOther stands for the accounts beyond them.
	accountOther = "other"
)

// accountCounter counts requests by client account.
type accountCounter struct {
	requests otel.Int64Counter
	mu       sync.Mutex
	options  map[string]accountOptions // by account, of the first accountNamesMax and of accountOther
}

// accountOptions are the cached attributes of an account's requests.
type accountOptions struct{ admitted, overQuota otel.MeasurementOption }

// record counts one request of the account.
func (c *accountCounter) record(account string, admitted bool) {
	p := c.optionsOf(account)
	o := p.overQuota
	if admitted {
		o = p.admitted
	}
	c.requests.Add(context.Background(), 1, o)
}

// optionsOf returns the attributes under which the account is counted.
func (c *accountCounter) optionsOf(account string) accountOptions {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.options[account]; ok {
		return p
	}
	if len(c.options) >= accountNamesMax {
		if p, ok := c.options[accountOther]; ok {
			return p
		}
		account = accountOther
	}
	if c.options == nil {
		c.options = make(map[string]accountOptions)
	}
	with := func(outcome string) otel.MeasurementOption {
		return otel.WithAttributeSet(attribute.NewSet(attribute.String("account", account), attribute.String("outcome", outcome)))
	}
	p := accountOptions{with("admitted"), with("over-quota")}
	c.options[account] = p
	return p
}
