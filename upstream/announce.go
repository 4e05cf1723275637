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

// formerIDsMax bounds the ids of former workers that a History keeps.
const formerIDsMax = 32

// History decides which of the announcements to one daemon are current. An
// announcement may arrive late, from an earlier start of the worker or from a
// worker that has been replaced. The zero value has received none.
type History struct {
	last      Announcement
	formerIDs []string // ids that were replaced by another one, or that left
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
			h.recordFormer(a.ID)
			return h.last, nil
		}
		if slices.Contains(h.formerIDs, a.ID) || a.Born > 0 && a.Born < h.last.Born {
			return a, result.New(result.OldAnnouncement, "worker %s was replaced by %s", a.ID, h.last.ID)
		}
		h.recordFormer(h.last.ID)
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
	return id != "" && (h.last.ID == id && h.last.State != readyState || slices.Contains(h.formerIDs, id))
}

// Accept is like Apply for an announcement that the worker has confirmed, unless it is
// leaving. It replaces the last one whatever their start times and sequences: the time of
// day may have been set back, and the last one may be of another writer.
func (h *History) Accept(a Announcement) (Announcement, error) {
	if a.ID == h.last.ID && h.last.State != readyState {
		return h.Apply(a)
	}
	if a.ID != h.last.ID {
		h.recordFormer(h.last.ID)
	}
	h.last = a
	return a, nil
}

// recordFormer adds id to the ids of former workers and drops the oldest one if
// there are too many.
func (h *History) recordFormer(id string) {
	if id == "" {
		return
	}
	h.formerIDs = append(h.formerIDs, id)
	if len(h.formerIDs) > formerIDsMax {
		h.formerIDs = h.formerIDs[1:]
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
