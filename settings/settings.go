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

// Settings are the settings of one daemon. Every address is host:port, where the
// host is the IP address at which others reach the instance.
type Settings struct {
	Instance   string `yaml:"Instance"`   // name of the instance, unique in the fleet
	Site       string `yaml:"Site"`       // site whose configuration it serves
	DataCentre string `yaml:"DataCentre"` // data centre that the instance runs in
	Region     string `yaml:"Region"`     // region of the data centre

	Platform  string `yaml:"Platform"`  // URL of the platform's object API
	Interface string `yaml:"Interface"` // protocol of callers, workers and the writers of the configuration: Figwheel, or Platform for that of the users' platform
	Service   string `yaml:"Service"`   // service of the worker on this instance; may be empty

	WorkerAddress string `yaml:"WorkerAddress"` // address of that worker, which the daemon probes once after a start; may be empty

	CallAddress     string `yaml:"CallAddress"`     // receives calls of callers
	LinkAddress     string `yaml:"LinkAddress"`     // receives calls forwarded by other daemons
	PeerAddress     string `yaml:"PeerAddress"`     // receives control traffic of other daemons
	UpstreamAddress string `yaml:"UpstreamAddress"` // receives announcements of the worker
	OperatorAddress string `yaml:"OperatorAddress"` // serves supervisors, operators and metrics
	ReadyAddress    string `yaml:"ReadyAddress"`    // serves the readiness check; may be empty

	Seeds []string `yaml:"Seeds"` // peer addresses to try while the platform is unavailable

	StageLimit Duration `yaml:"StageLimit"` // maximum time from the proposal of a change until it is staged everywhere
	DrainLimit Duration `yaml:"DrainLimit"` // maximum time that a stopping daemon waits for requests in flight; 0 is 5/6 of StopTimeout, or 30s without it
	LogLevel   string   `yaml:"LogLevel"`   // Debug, Info, Warn or Error

	StopTimeout Duration `yaml:"StopTimeout"` // time from SIGTERM until the process is killed; 0 if not known

	WorkerLapse Duration `yaml:"WorkerLapse"` // time without an announcement or an answer after which a worker is considered lost; 0 is the default

	CollectorPercent int `yaml:"CollectorPercent"` // heap growth in percent that starts a garbage collection; 0 is 400
	LogRate          int `yaml:"LogRate"`          // maximum log lines per second about answered calls; 0 is 100

	PipelineDepth int `yaml:"PipelineDepth"` // requests of one caller's connection that are served at the same time, if the caller does not wait for answers; 0 and 1 serve one after the other

	LinkMbps float64 `yaml:"LinkMbps"` // bandwidth of the instance's network link in Mbit/s; 0 if not known

	RetryPercent int `yaml:"RetryPercent"` // retry budget of a service that sets none itself, in percent of its requests; 0 is RetryPercentDefault
	RerunPercent int `yaml:"RerunPercent"` // retry budget for requests that may already have run, in percent of the requests of the service; 0 is RetryPercent
	RetryBurst   int `yaml:"RetryBurst"`   // burst of retries of one service that all daemons together may send; 0 is RetryBurstDefault for each daemon
}

// The interfaces towards callers, workers and the writers of the configuration.
const (
	FigwheelInterface = "Figwheel"
	PlatformInterface = "Platform"
)

// Defaults of optional settings, and the bounds of durations.
const (
	stageLimitDefault = 30 * time.Second
	drainLimitDefault = 30 * time.Second
	durationMin       = 100 * time.Millisecond
	durationMax       = 10 * time.Minute
)

// pipelineDepthMax bounds the goroutines and answers that one connection may hold.
const pipelineDepthMax = 64

// RetryPercentDefault is the default retry budget of a service, in percent of its
// requests.
const RetryPercentDefault = 10

// RetryBurstDefault is the burst of retries of one service that each daemon may
// send if the settings give no RetryBurst for all daemons together.
const RetryBurstDefault = 10

// Duration is a time.Duration that is written with its unit in YAML.
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *Duration) UnmarshalYAML(n *yaml.Node) error {
	t, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration with its unit, such as 30s", n.Line, n.Value)
	}
	*d = Duration(t)
	return nil
}

// Load returns the settings in the file at path, checked. Environment variables
// override the file's text settings. Their names are FIGWHEEL_ and the name of
// the setting in capitals, such as FIGWHEEL_PEERADDRESS. Its errors have
// the code BadSettings.
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

// Parse returns the settings in the YAML text d, overridden by the environment and
// checked. The error is that of the YAML decoder or of Settings.Check.
func Parse(d []byte, environ []string) (Settings, error) {
	var s Settings
	e := yaml.NewDecoder(bytes.NewReader(d))
	e.KnownFields(true)
	if err := e.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return s, err
	}
	s.applyEnvironment(environ)
	s = s.withDefaults()
	return s, s.Check()
}

// stringSetting is a setting that the environment can override.
type stringSetting struct {
	name  string
	value *string
}

func (s *Settings) stringSettings() []stringSetting {
	return []stringSetting{
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

// applyEnvironment overrides settings by environment variables.
func (s *Settings) applyEnvironment(environ []string) {
	for _, e := range environ {
		k, v, _ := strings.Cut(e, "=")
		for _, t := range s.stringSettings() {
			if k == "FIGWHEEL_"+strings.ToUpper(t.name) {
				*t.value = v
			}
		}
	}
}

// withDefaults returns s with defaults in place of optional settings that are not
// set.
func (s Settings) withDefaults() Settings {
	if s.StageLimit == 0 {
		s.StageLimit = Duration(stageLimitDefault)
	}
	if s.DrainLimit == 0 {
		s.DrainLimit = drainLimit(s.StopTimeout)
	}
	if s.LogLevel == "" {
		s.LogLevel = "Info"
	}
	return s
}

// drainLimit returns the default drain limit of a process that is killed after the
// time t, 0 if that is not known. It leaves a sixth of t for the daemon to announce
// its end and to exit.
func drainLimit(t Duration) Duration {
	if t == 0 {
		return Duration(drainLimitDefault)
	}
	return t * 5 / 6
}

// WithReload returns s with those settings of n that take effect while a daemon
// runs.
func (s Settings) WithReload(n Settings) Settings {
	s.Service = n.Service
	s.Seeds = n.Seeds
	s.WorkerLapse = n.WorkerLapse
	s.RetryPercent = n.RetryPercent
	s.RerunPercent = n.RerunPercent
	s.RetryBurst = n.RetryBurst
	s.LogRate = n.LogRate
	return s
}

// RestartRequired returns the names of the settings that differ between s and n
// and take effect only after a restart.
func (s Settings) RestartRequired(n Settings) []string {
	var r []string
	a, b := reflect.ValueOf(s.WithReload(n)), reflect.ValueOf(n)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			r = append(r, a.Type().Field(i).Name)
		}
	}
	return r
}

// Level returns the log level.
func (s Settings) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(s.LogLevel))
	return l
}

// Check returns nil if the settings are valid, or else one BadSettings error that
// lists every fault.
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
	for _, t := range s.stringSettings() {
		optional := (t.name == "ReadyAddress" || t.name == "WorkerAddress") && *t.value == ""
		if strings.HasSuffix(t.name, "Address") && !optional && !validAddress(*t.value) {
			fail("%s %q is not an IP address and a port", t.name, *t.value)
		}
	}
	for _, a := range s.Seeds {
		if !validAddress(a) {
			fail("Seeds has %q, which is not an IP address and a port", a)
		}
	}
	for _, d := range []Duration{s.StageLimit, s.DrainLimit, s.StopTimeout, s.WorkerLapse} {
		if t := time.Duration(d); t != 0 && t < durationMin || t > durationMax {
			fail("StageLimit, DrainLimit, StopTimeout and WorkerLapse take %s to %s, not %s", durationMin, durationMax, t)
		}
	}
	if s.StopTimeout > 0 && s.DrainLimit >= s.StopTimeout {
		fail("DrainLimit %s is not shorter than StopTimeout %s, after which the process is killed", time.Duration(s.DrainLimit), time.Duration(s.StopTimeout))
	}
	if s.Interface != "" && s.Interface != FigwheelInterface && s.Interface != PlatformInterface {
		fail("Interface %q is neither %s nor %s", s.Interface, FigwheelInterface, PlatformInterface)
	}
	for _, n := range []int{s.RetryPercent, s.RerunPercent} {
		if n < 0 || n > 100 {
			fail("RetryPercent and RerunPercent take 0 to 100, not %d", n)
		}
	}
	if s.RetryBurst < 0 {
		fail("RetryBurst takes 0 or more, not %d", s.RetryBurst)
	}
	if s.PipelineDepth < 0 || s.PipelineDepth > pipelineDepthMax {
		fail("PipelineDepth takes 0 to %d, not %d", pipelineDepthMax, s.PipelineDepth)
	}
	if s.LinkMbps < 0 || math.IsNaN(s.LinkMbps) {
		fail("LinkMbps takes 0 or more, not %v", s.LinkMbps)
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

// validAddress reports whether a is an IP address and a port.
func validAddress(a string) bool {
	h, _, err := net.SplitHostPort(a)
	return err == nil && net.ParseIP(h) != nil
}
