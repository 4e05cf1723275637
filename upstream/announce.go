package upstream

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"figwheel/result"
)

// AnnouncePath is where a worker posts its announcements.
const AnnouncePath = "/announce"

// LapseTime is how long an announcement counts; a worker repeats it at least
// once a second.
const LapseTime = 3 * time.Second

const announcementBytesMax = 16 << 10

var upstreamError = errs.Class("upstream")

// Announcement is what a worker says of itself. State is Starting, Ready,
// Draining or Left.
type Announcement struct {
	Service string
	Address string
	State   string
	Slots   int // 0 leaves it to the configuration

	ID       string        `json:"-"` // of this start of the worker, empty if it has none
	Sequence uint64        `json:"-"` // grows with each announcement of one start
	Born     int64         `json:"-"` // Unix milliseconds of the start, 0 if not told
	ColdLeft time.Duration `json:"-"` // for which the worker is still slow
}

// OtherStart tells whether a comes from another start of the worker than o. A
// start that o does not tell is not compared.
func (a Announcement) OtherStart(o Announcement) bool {
	return a.ID != o.ID || o.Born > 0 && a.Born > o.Born
}

// historyMax bounds the ids of earlier workers that are remembered.
const historyMax = 32

// History orders the announcements that come to one daemon. They may be late
// and from an earlier start of the worker, or from one that is gone. The zero
// value has seen none.
type History struct {
	last Announcement
	gone []string // ids that another one replaced, or that left
}

// Take returns the announcement to act on. An error says why a is not news.
// A worker that leaves says no more than its id and keeps what it said before.
func (h *History) Take(a Announcement) (Announcement, error) {
	if a.ID == "" {
		h.last = a
		return a, nil
	}
	if a.ID != h.last.ID {
		if a.State != readyState && h.last.ID != "" {
			// One that is no longer here leaves: it gets nothing already.
			h.forget(a.ID)
			return h.last, nil
		}
		if slices.Contains(h.gone, a.ID) || a.Born > 0 && a.Born < h.last.Born {
			return a, result.New(result.OldAnnouncement, "worker %s was replaced by %s", a.ID, h.last.ID)
		}
		h.forget(h.last.ID)
		h.last = a
		return a, nil
	}
	if a.State == leftState {
		n := h.last
		n.State = leftState
		h.last = n
		return n, nil
	}
	restarted := a.Born > h.last.Born && h.last.Born > 0
	if a.Sequence <= h.last.Sequence && !restarted || a.Born > 0 && a.Born < h.last.Born {
		return a, result.New(result.OldAnnouncement, "worker %s said %d after %d", a.ID, a.Sequence, h.last.Sequence)
	}
	// One that is leaving does not come back but by a new start.
	if h.last.State != readyState && a.State == readyState && !restarted {
		return a, result.New(result.OldAnnouncement, "worker %s is leaving", a.ID)
	}
	h.last = a
	return a, nil
}

func (h *History) forget(id string) {
	if id == "" {
		return
	}
	h.gone = append(h.gone, id)
	if len(h.gone) > historyMax {
		h.gone = h.gone[1:]
	}
}

// The states as they are announced.
const (
	readyState    = "Ready"
	drainingState = "Draining"
	leftState     = "Left"
)

// AnnounceHandler takes announcements and hands each to Take, with its time.
type AnnounceHandler struct {
	Take func(a Announcement, now time.Time)
	Now  func() time.Time
}

// ServeHTTP implements http.Handler.
func (h AnnounceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := readAnnouncement(w, r)
	if err != nil {
		http.Error(w, result.Wrap(result.BadAnnouncement, err, "announcement").Error(), http.StatusBadRequest)
		return
	}
	h.Take(a, h.Now())
	w.WriteHeader(http.StatusNoContent)
}

func readAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	var a Announcement
	if r.Method != http.MethodPost {
		return a, upstreamError.New("an announcement is posted")
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, announcementBytesMax))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return a, upstreamError.Wrap(err)
	}
	if a.Service == "" || a.Slots < 0 {
		return a, upstreamError.New("an announcement needs a Service, and Slots not below 0")
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return a, upstreamError.Wrap(err)
	}
	switch a.State {
	case "Starting", "Ready", "Draining", "Left":
		return a, nil
	}
	return a, upstreamError.New("State %q is not Starting, Ready, Draining or Left", a.State)
}
