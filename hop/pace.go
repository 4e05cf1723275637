package hop

import (
	"context"
	"sync"
	"time"
)

// paceBytesPerSecond is the least average rate of a response. It leaves most of a slow link to
// other traffic, and the largest object of the platform may take a quarter of a minute.
const paceBytesPerSecond = 64 << 10

// WithPace returns a context for the reading of one response, which ends when no byte of it has
// arrived for idle, or when it falls behind its least average rate by as much. A limit of the
// whole time would end each try at a response that is large for its link, and the tries after
// it. ReadBody reports the bytes to the context of the request, and to those that it was
// derived from.
func WithPace(x context.Context, idle time.Duration) (context.Context, context.CancelFunc) {
	p := &pace{idle: idle, started: time.Now()}
	p.parent, _ = x.Value(paceKey{}).(*pace)
	y, stop := context.WithCancelCause(context.WithValue(x, paceKey{}, p))
	p.timer = time.AfterFunc(idle, func() { stop(context.DeadlineExceeded) })
	return y, func() {
		p.timer.Stop()
		stop(context.Canceled)
	}
}

// paceKey is the key of the pace in a context.
type paceKey struct{}

// pace bounds the reading of one response.
type pace struct {
	parent  *pace
	idle    time.Duration
	started time.Time
	timer   *time.Timer

	mu    sync.Mutex
	bytes int64 // that have arrived
}

// arrived records n bytes that have arrived at now. A nil pace records none.
func (p *pace) arrived(n int, now time.Time) {
	for ; p != nil && n > 0; p = p.parent {
		p.mu.Lock()
		p.bytes += int64(n)
		if p.timer.Stop() { // a timer that has expired has ended the context
			p.timer.Reset(p.waitAt(now))
		}
		p.mu.Unlock()
	}
}

// waitAt returns how long after now the next byte may take.
func (p *pace) waitAt(now time.Time) time.Duration {
	behind := p.idle + time.Duration(float64(p.bytes)/paceBytesPerSecond*float64(time.Second)) - now.Sub(p.started)
	return max(0, min(p.idle, behind))
}
