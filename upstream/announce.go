package upstream

import (
	"encoding/json"
	"net"
	"net/http"
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
}

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
