package daemon

import (
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/tomlfile"
)

type (
	// Settings is a daemon's TOML file.
	Settings struct {
		ID       tw.DaemonID      `toml:"id"`
		Hall     tw.HallID        `toml:"hall"`
		Instance tw.InstanceID    `toml:"instance"`
		Listen   ListenSettings   `toml:"listen"`
		Platform PlatformSettings `toml:"platform"`
		Peers    []string         `toml:"peers"`
		Limits   LimitSettings    `toml:"limits"`
		Log      LogSettings      `toml:"log"`
	}

	// ListenSettings says where the daemon listens, as IP:port. Port 0 lets
	// the kernel choose.
	ListenSettings struct {
		Gateway string `toml:"gateway"`
		Peer    string `toml:"peer"`
		Admin   string `toml:"admin"`
	}

	// PlatformSettings says how to reach the platform.
	PlatformSettings struct {
		URL            string      `toml:"url"`
		Timeout        tw.Duration `toml:"timeout"`
		CallsPerSecond float64     `toml:"calls_per_second"`
	}

	// LimitSettings bounds what the daemon takes.
	LimitSettings struct {
		Body        tw.Bytes    `toml:"body"`
		HeldBody    tw.Bytes    `toml:"held_body"`
		Header      tw.Bytes    `toml:"header"`
		Connections int         `toml:"connections"`
		DialTimeout tw.Duration `toml:"dial_timeout"`
		StopTimeout tw.Duration `toml:"stop_timeout"`
		KeyLifetime tw.Duration `toml:"key_lifetime"`
	}

	// LogSettings says what is logged.
	LogSettings struct {
		Level string `toml:"level"`
	}
)

var logLevels = []string{"debug", "info", "warn", "error"}

// LoadSettings reads a settings file. Faults are of type tw.Faults.
func LoadSettings(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "daemon.LoadSettings")
	}
	var s Settings
	if err := tomlfile.Decode(source, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Defaults fills what was left out.
func (s *Settings) Defaults() {
	set(&s.Platform.Timeout, tw.Duration(2*time.Second))
	set(&s.Platform.CallsPerSecond, 10)
	set(&s.Limits.Body, 8<<20)
	set(&s.Limits.HeldBody, 64<<10)
	set(&s.Limits.Header, 32<<10)
	set(&s.Limits.Connections, 8)
	set(&s.Limits.DialTimeout, tw.Duration(500*time.Millisecond))
	set(&s.Limits.StopTimeout, tw.Duration(30*time.Second))
	set(&s.Limits.KeyLifetime, tw.Duration(10*time.Minute))
	set(&s.Log.Level, "info")
}

// Validate gathers all faults; the error is of type tw.Faults.
func (s *Settings) Validate() error {
	var faults tw.Faults
	need(&faults, "id", string(s.ID))
	need(&faults, "hall", string(s.Hall))
	need(&faults, "instance", string(s.Instance))
	address(&faults, "listen.gateway", s.Listen.Gateway)
	address(&faults, "listen.peer", s.Listen.Peer)
	address(&faults, "listen.admin", s.Listen.Admin)
	s.validatePlatform(&faults)
	for _, p := range s.Peers {
		address(&faults, "peers", p)
	}
	s.validateLimits(&faults)
	logLevel(&faults, s.Log.Level)
	return faults.Err()
}

func (s *Settings) validatePlatform(faults *tw.Faults) {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		faults.Add("platform.url", "is %q, must be a URL such as \"http://10.0.0.1:7000\"", s.Platform.URL)
	}
	positive(faults, "platform.timeout", int64(s.Platform.Timeout))
	if s.Platform.CallsPerSecond < 0 {
		faults.Add("platform.calls_per_second", "must be above 0")
	}
}

func (s *Settings) validateLimits(faults *tw.Faults) {
	positive(faults, "limits.body", int64(s.Limits.Body))
	positive(faults, "limits.held_body", int64(s.Limits.HeldBody))
	positive(faults, "limits.header", int64(s.Limits.Header))
	positive(faults, "limits.connections", int64(s.Limits.Connections))
	positive(faults, "limits.dial_timeout", int64(s.Limits.DialTimeout))
	positive(faults, "limits.stop_timeout", int64(s.Limits.StopTimeout))
	positive(faults, "limits.key_lifetime", int64(s.Limits.KeyLifetime))
	if s.Limits.Body > 0 && s.Limits.HeldBody > s.Limits.Body {
		faults.Add("limits.held_body", "is over limits.body")
	}
}

func set[T comparable](at *T, rest T) {
	var zero T
	if *at == zero {
		*at = rest
	}
}

func need(faults *tw.Faults, field, value string) {
	if value == "" {
		faults.Add(field, "is missing")
	}
}

func positive(faults *tw.Faults, field string, value int64) {
	if value <= 0 {
		faults.Add(field, "must be above 0")
	}
}

func logLevel(faults *tw.Faults, level string) {
	if !slices.Contains(logLevels, level) {
		faults.Add("log.level", "is %q, must be one of %s", level, strings.Join(logLevels, ", "))
	}
}

func address(faults *tw.Faults, field, value string) {
	host, _, err := net.SplitHostPort(value)
	switch {
	case value == "":
		faults.Add(field, "is missing: give IP:port")
	case err != nil || net.ParseIP(host) == nil:
		faults.Add(field, "is %q, must be IP:port", value)
	}
}
