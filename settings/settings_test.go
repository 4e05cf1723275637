package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/result"
	"figwheel/settings"
)

const good = `
Instance: beeston-1
Site: beeston
Platform: http://127.0.0.1:7400
CallAddress: 127.0.0.1:7101
LinkAddress: 127.0.0.1:7102
PeerAddress: 127.0.0.1:7103
UpstreamAddress: 127.0.0.1:7104
OperatorAddress: 127.0.0.1:7105
DrainLimit: 5s
`

// TestParse checks defaults, and that the environment overrides text settings and
// other variables are ignored.
func TestParse(t *testing.T) {
	s, err := settings.Parse([]byte(good), []string{"FIGWHEEL_SITE=zouch", "PATH=/bin", "FIGWHEEL_DAEMON=x"})
	if err != nil {
		t.Fatal(err)
	}
	want := settings.Settings{
		Instance:        "beeston-1",
		Site:            "zouch",
		Platform:        "http://127.0.0.1:7400",
		CallAddress:     "127.0.0.1:7101",
		LinkAddress:     "127.0.0.1:7102",
		PeerAddress:     "127.0.0.1:7103",
		UpstreamAddress: "127.0.0.1:7104",
		OperatorAddress: "127.0.0.1:7105",
		StageLimit:      settings.Duration(30 * time.Second),
		DrainLimit:      settings.Duration(5 * time.Second),
		LogLevel:        "Info",
	}
	if d := cmp.Diff(want, s); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

// TestDrainLimitFollowsStopTimeout guards against requests that are cut off although the process could still wait for them.
func TestDrainLimitFollowsStopTimeout(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration
	}{
		{"", 30 * time.Second},
		{"StopTimeout: 6s", 5 * time.Second},
		{"StopTimeout: 12s", 10 * time.Second},
		{"StopTimeout: 0.6s", 500 * time.Millisecond},
		{"StopTimeout: 12s\nDrainLimit: 7s", 7 * time.Second},
	} {
		s, err := settings.Parse([]byte(strings.Replace(good, "DrainLimit: 5s", c.text, 1)), nil)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(c.want, time.Duration(s.DrainLimit)); d != "" {
			t.Errorf("%q (-want +got)\n%s", c.text, d)
		}
	}
}

// TestParseRejectsInvalidSettings guards against a daemon that starts with settings
// that it cannot use, and against an error that does not name the setting.
func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown key", "Site:", "Sit:", "field Sit not found"},
		{"no instance", "Instance: beeston-1", "", "Instance"},
		{"an invalid instance name", "beeston-1", "Beeston 1", "Instance \"Beeston 1\""},
		{"a host name in place of an IP address", "127.0.0.1:7103", "localhost:7103", "PeerAddress"},
		{"an address without a port", "127.0.0.1:7104", "127.0.0.1", "UpstreamAddress"},
		{"a platform without a scheme", "http://127.0.0.1:7400", "127.0.0.1:7400", "Platform"},
		{"a duration without a unit", "DrainLimit: 5s", "DrainLimit: 5", "with its unit"},
		{"a duration out of range", "DrainLimit: 5s", "DrainLimit: 5h", "DrainLimit"},
		{"a drain limit that ends after the process is killed", "DrainLimit: 5s", "DrainLimit: 5s\nStopTimeout: 5s", "StopTimeout 5s"},
		{"a stop timeout out of range", "DrainLimit: 5s", "StopTimeout: 5h", "StopTimeout"},
		{"an unknown log level", "DrainLimit: 5s", "LogLevel: Loud", "LogLevel"},
		{"an invalid seed", "DrainLimit: 5s", "Seeds: [x]", "Seeds"},
		{"two faults, the second", "Instance: beeston-1\nSite: beeston", "Instance: A\nSite: B", "Site \"B\""},
	}
	for _, c := range cases {
		_, err := settings.Parse([]byte(strings.Replace(good, c.old, c.new, 1)), nil)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
	if _, err := settings.Load("testdata/none.yaml", nil); result.CodeOf(err) != result.BadSettings {
		t.Errorf("a missing file: %v", err)
	}
}

// FuzzParse guards against settings that pass the check but cannot be used: those
// without an instance name or with a stage limit that is not positive.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Fuzz(func(t *testing.T, s string) {
		if v, err := settings.Parse([]byte(s), nil); err == nil && (v.Instance == "" || v.StageLimit <= 0) {
			t.Errorf("%+v", v)
		}
	})
}
