package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"figwheel/result"
)

// Settings are the settings of one daemon. Every address is host:port, where
// the host is the IP number that others reach the instance by.
type Settings struct {
	Instance   string `yaml:"Instance"`   // name of the instance, unique in the fleet
	Site       string `yaml:"Site"`       // site whose configuration it serves
	DataCentre string `yaml:"DataCentre"` // data centre it stands in
	Region     string `yaml:"Region"`     // region of the data centre

	Platform  string `yaml:"Platform"`  // URL of the platform's object API
	Interface string `yaml:"Interface"` // Figwheel, or Platform for the users' platform: what callers, workers and supervisors speak
	Service   string `yaml:"Service"`   // service of the worker beside it; may be empty

	WorkerAddress string `yaml:"WorkerAddress"` // of that worker, which is asked after a start; may be empty

	CallAddress     string `yaml:"CallAddress"`     // callers
	LinkAddress     string `yaml:"LinkAddress"`     // calls from other daemons
	PeerAddress     string `yaml:"PeerAddress"`     // control traffic of other daemons
	UpstreamAddress string `yaml:"UpstreamAddress"` // announcements of the worker
	OperatorAddress string `yaml:"OperatorAddress"` // supervisors, operators, metrics
	ReadyAddress    string `yaml:"ReadyAddress"`    // answers whether this daemon takes calls; may be empty

	Seeds []string `yaml:"Seeds"` // peer addresses to try while the platform is out

	StageLimit Duration `yaml:"StageLimit"` // how long a change may be staged
	DrainLimit Duration `yaml:"DrainLimit"` // how long a stop waits for requests in flight
	LogLevel   string   `yaml:"LogLevel"`   // Debug, Info, Warn or Error

	WorkerLapse Duration `yaml:"WorkerLapse"` // after which a worker that says nothing is taken for lost

	CollectorPercent int `yaml:"CollectorPercent"` // heap growth at which garbage is collected; 0 is 400
	LogRate          int `yaml:"LogRate"`          // lines a second about calls that were answered; 0 is 100

	LinkMbps float64 `yaml:"LinkMbps"` // that the instance's own link carries; 0 if that is not known

	RetryPercent int `yaml:"RetryPercent"` // of the requests of a service may be sent again, where it does not say itself
	RerunPercent int `yaml:"RerunPercent"` // of them may be sent again although they may have run; 0 is RetryPercent
	RetryBurst   int `yaml:"RetryBurst"`   // retries of a service that all daemons together may send at once
}

// The interfaces that callers, workers and supervisors may speak.
const (
	OwnInterface      = "Figwheel"
	PlatformInterface = "Platform"
)

// Defaults of the settings that may be left out.
const (
	defaultStageLimit = 30 * time.Second
	defaultDrainLimit = 30 * time.Second
	limitMin          = 100 * time.Millisecond
	limitMax          = 10 * time.Minute
)

// RetryPercentDefault is the part of the requests of a service that may be sent
// again where nothing else is said.
const RetryPercentDefault = 10

// RetryBurstAlone is how many retries of a service one daemon may send at once
// where the settings do not say how many all of them may.
const RetryBurstAlone = 10

// Duration is a time.Duration that YAML states with its unit.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	t, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is no duration with its unit, such as 30s", n.Line, n.Value)
	}
	*d = Duration(t)
	return nil
}

// Load reads the file and lets the environment override it: FIGWHEEL_ and the
// name of a setting in capitals, such as FIGWHEEL_PEERADDRESS.
func Load(path string, environ []string) (Settings, error) {
	d, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, result.Wrap(result.BadSettings, err, "settings")
	}
	s, err := Parse(d, environ)
	if err != nil {
		return s, result.Wrap(result.BadSettings, err, "%s", path)
	}
	return s, nil
}

// Parse reads settings from YAML and the environment and checks them.
func Parse(d []byte, environ []string) (Settings, error) {
	var s Settings
	e := yaml.NewDecoder(bytes.NewReader(d))
	e.KnownFields(true)
	if err := e.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return s, err
	}
	s.override(environ)
	s = s.withDefaults()
	return s, s.Check()
}

type text struct {
	name  string
	value *string
}

func (s *Settings) texts() []text {
	return []text{
		{"Instance", &s.Instance},
		{"Site", &s.Site},
		{"DataCentre", &s.DataCentre},
		{"Region", &s.Region},
		{"Platform", &s.Platform},
		{"CallAddress", &s.CallAddress},
		{"LinkAddress", &s.LinkAddress},
		{"PeerAddress", &s.PeerAddress},
		{"UpstreamAddress", &s.UpstreamAddress},
		{"OperatorAddress", &s.OperatorAddress},
		{"ReadyAddress", &s.ReadyAddress},
		{"WorkerAddress", &s.WorkerAddress},
		{"LogLevel", &s.LogLevel},
		{"Interface", &s.Interface},
		{"Service", &s.Service},
	}
}

func (s *Settings) override(environ []string) {
	for _, e := range environ {
		k, v, _ := strings.Cut(e, "=")
		for _, t := range s.texts() {
			if k == "FIGWHEEL_"+strings.ToUpper(t.name) {
				*t.value = v
			}
		}
	}
}

func (s Settings) withDefaults() Settings {
	if s.StageLimit == 0 {
		s.StageLimit = Duration(defaultStageLimit)
	}
	if s.DrainLimit == 0 {
		s.DrainLimit = Duration(defaultDrainLimit)
	}
	if s.LogLevel == "" {
		s.LogLevel = "Info"
	}
	return s
}

// WithReload returns the settings with those of n that can change while a daemon
// runs.
func (s Settings) WithReload(n Settings) Settings {
	s.Seeds = n.Seeds
	s.WorkerLapse = n.WorkerLapse
	s.RetryPercent = n.RetryPercent
	s.RerunPercent = n.RerunPercent
	s.RetryBurst = n.RetryBurst
	s.LogRate = n.LogRate
	return s
}

// Restart returns the names of the settings in which n differs and that only
// count from the next start.
func (s Settings) Restart(n Settings) []string {
	var r []string
	a, b := reflect.ValueOf(s.WithReload(n)), reflect.ValueOf(n)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			r = append(r, a.Type().Field(i).Name)
		}
	}
	return r
}

// Level returns the level of the log.
func (s Settings) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return l
}

// Check returns every fault of the settings in one numbered error, or nil.
func (s Settings) Check() error {
	var p []string
	fail := func(format string, a ...any) { p = append(p, fmt.Sprintf(format, a...)) }
	name := regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	if !name.MatchString(s.Instance) {
		fail("Instance %q is not 1 to 63 lower-case letters, digits and dashes", s.Instance)
	}
	if !name.MatchString(s.Site) {
		fail("Site %q is not 1 to 63 lower-case letters, digits and dashes", s.Site)
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		fail("Platform %q is not an http or https URL", s.Platform)
	}
	for _, t := range s.texts() {
		optional := (t.name == "ReadyAddress" || t.name == "WorkerAddress") && *t.value == ""
		if strings.HasSuffix(t.name, "Address") && !optional && !validAddress(*t.value) {
			fail("%s %q is not an IP number and a port", t.name, *t.value)
		}
	}
	for _, a := range s.Seeds {
		if !validAddress(a) {
			fail("Seeds has %q, which is not an IP number and a port", a)
		}
	}
	for _, d := range []Duration{s.StageLimit, s.DrainLimit, s.WorkerLapse} {
		if t := time.Duration(d); t != 0 && t < limitMin || t > limitMax {
			fail("StageLimit, DrainLimit and WorkerLapse take %s to %s, not %s", limitMin, limitMax, t)
		}
	}
	if s.Interface != "" && s.Interface != OwnInterface && s.Interface != PlatformInterface {
		fail("Interface %q is neither %s nor %s", s.Interface, OwnInterface, PlatformInterface)
	}
	for _, n := range []int{s.RetryPercent, s.RerunPercent} {
		if n < 0 || n > 100 {
			fail("RetryPercent and RerunPercent take 0 to 100, not %d", n)
		}
	}
	if s.RetryBurst < 0 {
		fail("RetryBurst takes no less than 0, not %d", s.RetryBurst)
	}
	if s.LinkMbps < 0 || math.IsNaN(s.LinkMbps) {
		fail("LinkMbps is %v, less than 0", s.LinkMbps)
	}
	var l slog.Level
	if l.UnmarshalText([]byte(s.LogLevel)) != nil {
		fail("LogLevel %q is not Debug, Info, Warn or Error", s.LogLevel)
	}
	if len(p) > 0 {
		return result.New(result.BadSettings, "%s", strings.Join(p, "; "))
	}
	return nil
}

func validAddress(a string) bool {
	h, _, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(h) != nil
}
