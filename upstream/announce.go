package upstream

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"figwheel/result"
)

// AnnouncePath is the URL path to which a worker posts its announcements.
const AnnouncePath = "/announce"

// LapseTimeDefault is the default time without an announcement or an answer after
// which a worker is considered lost. A worker announces itself at least once a
// second.
const LapseTimeDefault = 3 * time.Second

const announcementBytesMax = 16 << 10

var upstreamError = errs.Class("upstream")

// Announcement is a worker's report of its own state. State is Starting, Ready,
// Draining or Left.
type Announcement struct {
	Service string
	Address string
	State   string
	Slots   int // 0 if the configuration decides

	ID       string        `json:"-"` // of this start of the worker, empty if the worker sends none
	Sequence uint64        `json:"-"` // increases with each announcement of one start
	Born     int64         `json:"-"` // Unix time of the start in milliseconds, 0 if unknown
	ColdLeft time.Duration `json:"-"` // how much longer the worker is slow after its start
}

// Bounds of an announcement.
const (
	slotsMax     = 10_000
	nameBytesMax = 256       // of an id and of a service
	bornAheadMax = time.Hour // of a start after the present time, which clocks do not agree on
	sequenceMax  = 1<<53 - 1 // the largest integer that each JSON encoder keeps
)

// Check returns an error of code BadAnnouncement if a cannot come from a worker at the
// time now. An announcement of the state Left has no other fields but an ID.
func (a Announcement) Check(now time.Time) error {
	switch {
	case len(a.ID) > nameBytesMax, len(a.Service) > nameBytesMax:
		return result.New(result.BadAnnouncement, "announcement with an id of %d and a service of %d bytes; the limit is %d", len(a.ID), len(a.Service), nameBytesMax)
	case a.ID != "" && a.State == leftState:
		return nil
	case a.Service == "":
		return result.New(result.BadAnnouncement, "announcement of %s without a service", a.ID)
	case a.Slots < 0 || a.Slots > slotsMax:
		return result.New(result.BadAnnouncement, "announcement of %s with %d slots; the limit is %d", a.ID, a.Slots, slotsMax)
	case a.Born < 0 || a.Born > now.Add(bornAheadMax).UnixMilli():
		return result.New(result.BadAnnouncement, "announcement of %s with a start at %d ms, now is %d ms", a.ID, a.Born, now.UnixMilli())
	case a.Sequence > sequenceMax:
		return result.New(result.BadAnnouncement, "announcement of %s with the sequence %d", a.ID, a.Sequence)
	}
	h, p, err := net.SplitHostPort(a.Address)
	if err != nil {
		return result.Wrap(result.BadAnnouncement, err, "announcement of %s", a.ID)
	}
	if n, err := strconv.ParseUint(p, 10, 16); err != nil || n == 0 || h == "" {
		return result.New(result.BadAnnouncement, "announcement of %s with the address %q", a.ID, a.Address)
	}
	return nil
}

// IsOtherStart reports whether a comes from another start of the worker than o:
// the ids differ, or both have a start time and that of a is later.
func (a Announcement) IsOtherStart(o Announcement) bool {
	return a.ID != o.ID || o.Born > 0 && a.Born > o.Born
}

// IsSameWorker reports whether a and o come from the same start of the worker at the same
// address. Announcements without an id tell nothing of the start: two that differ may be
// from two.
func (a Announcement) IsSameWorker(o Announcement) bool {
	if a.ID == "" {
		return a == o
	}
	return !a.IsOtherStart(o) && !o.IsOtherStart(a) && a.Address == o.Address
}

// formerMax bounds the starts of former workers that a History keeps.
const formerMax = 32

// History decides which of the announcements to one daemon are current. An
// announcement may arrive late, from an earlier start of the worker or from a
// worker that has been replaced. The zero value has received none.
type History struct {
	last   Announcement
	former []Announcement // of starts that were replaced by another id, or that left
}

// Apply records a as the last announcement if it is current and returns the
// announcement to act on, or an error of code OldAnnouncement that says why a is
// out of date. Announcements with an id have the state Ready, Draining or Left. One
// with the state Left has only the id, so the other fields of the one before it are
// returned with it.
func (h *History) Apply(a Announcement) (Announcement, error) {
	if a.ID == "" {
		h.last = a
		return a, nil
	}
	if a.ID != h.last.ID {
		if a.State != readyState && h.last.ID != "" {
			// A former worker is draining or has left. It receives no requests
			// any more, so nothing changes.
			h.recordFormer(a)
			return h.last, nil
		}
		if h.formerIndex(a.ID) >= 0 || a.Born > 0 && a.Born < h.last.Born {
			return a, result.New(result.OldAnnouncement, "worker %s was replaced by %s", a.ID, h.last.ID)
		}
		h.recordFormer(h.last)
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
	// A start that drains does not take that back, so that this is true also when late.
	late := a.Sequence <= h.last.Sequence && (a.State == readyState || h.last.State == leftState)
	if late && !restarted || a.Born > 0 && a.Born < h.last.Born {
		return a, result.New(result.OldAnnouncement, "worker %s said %d after %d", a.ID, a.Sequence, h.last.Sequence)
	}
	// A worker that is draining or has left is ready again only after a restart.
	if h.last.State != readyState && a.State == readyState && !restarted {
		return a, result.New(result.OldAnnouncement, "worker %s is leaving", a.ID)
	}
	h.last = a
	return a, nil
}

// IsLeaving reports whether the worker with the id has announced that it leaves or was
// replaced.
func (h *History) IsLeaving(id string) bool {
	return id != "" && (h.last.ID == id && h.last.State != readyState || h.formerIndex(id) >= 0)
}

// IsReplaced reports whether a comes from a start that was replaced by another id, or from
// one before it under the same id. It is false if the time of either start is not known.
func (h *History) IsReplaced(a Announcement) bool {
	i := h.formerIndex(a.ID)
	return i >= 0 && a.Born > 0 && a.Born <= h.former[i].Born
}

// Accept is like Apply for an announcement that the worker has confirmed since it arrived. It
// replaces the last one whatever their start times, sequences and states: the time of day may
// have been set back, and the last one may be late or of another writer.
func (h *History) Accept(a Announcement) {
	if i := h.formerIndex(a.ID); i >= 0 {
		h.former = slices.Delete(h.former, i, i+1)
	}
	if a.ID != h.last.ID {
		h.recordFormer(h.last)
	}
	h.last = a
}

// formerIndex returns the index of the id in h.former, or a number below 0.
func (h *History) formerIndex(id string) int {
	return slices.IndexFunc(h.former, func(a Announcement) bool { return a.ID == id })
}

// recordFormer adds a to the starts of former workers and drops the oldest one if
// there are too many.
func (h *History) recordFormer(a Announcement) {
	if a.ID == "" {
		return
	}
	if i := h.formerIndex(a.ID); i >= 0 {
		a.Born = max(a.Born, h.former[i].Born)
		h.former = slices.Delete(h.former, i, i+1)
	}
	h.former = append(h.former, a)
	if len(h.former) > formerMax {
		h.former = h.former[1:]
	}
}

// The states in an announcement that need special treatment.
const (
	readyState    = "Ready"
	drainingState = "Draining"
	leftState     = "Left"
)

// AnnounceHandler serves AnnouncePath: it passes each valid announcement to Take
// with the time that Now returns.
type AnnounceHandler struct {
	Take func(a Announcement, now time.Time)
	Now  func() time.Time
}

// ServeHTTP implements http.Handler.
func (h AnnounceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a, err := readAnnouncement(w, r)
	now := h.Now()
	if err == nil {
		err = a.Check(now)
	}
	if err != nil {
		http.Error(w, result.Wrap(result.BadAnnouncement, err, "announcement").Error(), http.StatusBadRequest)
		return
	}
	h.Take(a, now)
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
	switch a.State {
	case "Starting", "Ready", "Draining", "Left":
		return a, nil
	}
	return a, upstreamError.New("State %q is not Starting, Ready, Draining or Left", a.State)
}
