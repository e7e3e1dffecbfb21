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
	// Settings is the TOML settings file of an entry daemon.
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

	// ListenSettings holds the listen addresses, as IP:port. Port 0 lets the
	// kernel choose.
	ListenSettings struct {
		Gateway string `toml:"gateway"`
		Peer    string `toml:"peer"`
		Admin   string `toml:"admin"`
	}

	// PlatformSettings configures access to the platform.
	PlatformSettings struct {
		URL            string      `toml:"url"`
		Timeout        tw.Duration `toml:"timeout"`
		CallsPerSecond float64     `toml:"calls_per_second"`
	}

	// LimitSettings limits what the daemon accepts.
	LimitSettings struct {
		Body tw.Bytes `toml:"body"`
		// HeldBody is the size up to which a body is buffered; larger bodies are
		// streamed, and their requests are not sent again.
		HeldBody    tw.Bytes    `toml:"held_body"`
		Header      tw.Bytes    `toml:"header"`
		Connections int         `toml:"connections"`
		DialTimeout tw.Duration `toml:"dial_timeout"`
		StopTimeout tw.Duration `toml:"stop_timeout"`
		KeyLifetime tw.Duration `toml:"key_lifetime"`
	}

	// LogSettings configures logging.
	LogSettings struct {
		Level string `toml:"level"`
	}
)

var logLevels = []string{"debug", "info", "warn", "error"}

// LoadSettings reads a settings file. Errors in its content are of type tw.ValidationErrors.
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

// SetDefaults sets the defaults of missing values.
func (s *Settings) SetDefaults() {
	setDefault(&s.Platform.Timeout, tw.Duration(2*time.Second))
	setDefault(&s.Platform.CallsPerSecond, 10)
	setDefault(&s.Limits.Body, 8<<20)
	setDefault(&s.Limits.HeldBody, 64<<10)
	setDefault(&s.Limits.Header, 32<<10)
	setDefault(&s.Limits.Connections, 8)
	setDefault(&s.Limits.DialTimeout, tw.Duration(500*time.Millisecond))
	setDefault(&s.Limits.StopTimeout, tw.Duration(30*time.Second))
	setDefault(&s.Limits.KeyLifetime, tw.Duration(10*time.Minute))
	setDefault(&s.Log.Level, "info")
}

// Validate reports all faults; the error is of type tw.ValidationErrors.
func (s *Settings) Validate() error {
	var faults tw.ValidationErrors
	checkRequired(&faults, "id", string(s.ID))
	checkRequired(&faults, "hall", string(s.Hall))
	checkRequired(&faults, "instance", string(s.Instance))
	checkAddress(&faults, "listen.gateway", s.Listen.Gateway)
	checkAddress(&faults, "listen.peer", s.Listen.Peer)
	checkAddress(&faults, "listen.admin", s.Listen.Admin)
	s.validatePlatform(&faults)
	for _, p := range s.Peers {
		checkAddress(&faults, "peers", p)
	}
	s.validateLimits(&faults)
	checkLogLevel(&faults, s.Log.Level)
	return faults.Err()
}

func (s *Settings) validatePlatform(faults *tw.ValidationErrors) {
	u, err := url.Parse(s.Platform.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		faults.Add("platform.url", "is %q, must be a URL such as \"http://10.0.0.1:7000\"", s.Platform.URL)
	}
	checkPositive(faults, "platform.timeout", int64(s.Platform.Timeout))
	if s.Platform.CallsPerSecond < 0 {
		faults.Add("platform.calls_per_second", "must be above 0")
	}
}

func (s *Settings) validateLimits(faults *tw.ValidationErrors) {
	checkPositive(faults, "limits.body", int64(s.Limits.Body))
	checkPositive(faults, "limits.held_body", int64(s.Limits.HeldBody))
	checkPositive(faults, "limits.header", int64(s.Limits.Header))
	checkPositive(faults, "limits.connections", int64(s.Limits.Connections))
	checkPositive(faults, "limits.dial_timeout", int64(s.Limits.DialTimeout))
	checkPositive(faults, "limits.stop_timeout", int64(s.Limits.StopTimeout))
	checkPositive(faults, "limits.key_lifetime", int64(s.Limits.KeyLifetime))
	if s.Limits.Body > 0 && s.Limits.HeldBody > s.Limits.Body {
		faults.Add("limits.held_body", "exceeds limits.body")
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func checkRequired(faults *tw.ValidationErrors, field, value string) {
	if value == "" {
		faults.Add(field, "is missing")
	}
}

func checkPositive(faults *tw.ValidationErrors, field string, value int64) {
	if value <= 0 {
		faults.Add(field, "must be above 0")
	}
}

func checkLogLevel(faults *tw.ValidationErrors, level string) {
	if !slices.Contains(logLevels, level) {
		faults.Add("log.level", "is %q, must be one of %s", level, strings.Join(logLevels, ", "))
	}
}

func checkAddress(faults *tw.ValidationErrors, field, value string) {
	host, _, err := net.SplitHostPort(value)
	switch {
	case value == "":
		faults.Add(field, "is missing: give IP:port")
	case err != nil || net.ParseIP(host) == nil:
		faults.Add(field, "is %q, must be IP:port", value)
	}
}
