package daemon

import (
	"maps"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/tomlfile"
)

type (
	// QueueSettings is the TOML settings file of a daemon that accepts submissions
	// on the platform. The platform generates it from deploy/settings.toml.tmpl.
	// The names begin with Queue to distinguish them from the parts of Settings,
	// the file of the entry daemon.
	QueueSettings struct {
		ID       tw.DaemonID        `toml:"id"`
		Hall     tw.HallID          `toml:"hall"`
		Listen   QueueListen        `toml:"listen"`
		Platform QueuePlatform      `toml:"platform"`
		Limits   QueueProcessLimits `toml:"limits"`
		Bounds   QueueBounds        `toml:"bounds"`
		Machines QueueMachines      `toml:"machines"`
		Log      LogSettings        `toml:"log"`
	}

	// QueueListen holds the listen addresses, as IP:port.
	QueueListen struct {
		// Callers is for the requests of callers.
		Callers string `toml:"callers"`
		// Readiness is for the readiness check of the platform's load balancer.
		Readiness string `toml:"readiness"`
		// Peers is for the other daemons.
		Peers string `toml:"peers"`
		// Metrics may be empty; then metrics are not served.
		Metrics string `toml:"metrics"`
	}

	// QueuePlatform holds the addresses of the platform's services, as IP:port.
	QueuePlatform struct {
		// Store is the metadata store, Machines the machine interface.
		Store    string `toml:"store"`
		Machines string `toml:"machines"`
		// Advice is the advice service. It may be empty if no route uses it.
		Advice string `toml:"advice"`
		// MinLease is the shortest lease that the store grants.
		MinLease tw.Duration `toml:"min_lease"`
		// Contracts are the parts of the platform's rules that apply to the deployment.
		Contracts []string `toml:"contracts"`
	}

	// QueueProcessLimits holds the limits of the process.
	QueueProcessLimits struct {
		// MemoryMB is the memory that the process may use, in units of 1<<20
		// bytes.
		MemoryMB int64 `toml:"memory_mb"`
		// Cores is the number of processor cores that the process has, such as 0.4. It
		// does not limit the process: daemons with more cores take pools first.
		Cores tw.Cores `toml:"cores"`
		// LinkMbps is the bandwidth of the daemon's link in one direction, in Mbit/s; zero
		// if unknown. Owners take no more work than the link can carry the orders for.
		LinkMbps float64 `toml:"link_mbps"`
	}

	// QueueMachines configures the use of machines.
	QueueMachines struct {
		// ParkAfter is how long a machine must have been needed by no pool before it is
		// switched off.
		ParkAfter tw.Duration `toml:"park_after"`
	}

	// QueueBounds are time limits of the platform; docs/SETTINGS.md explains each.
	// Those from MaxHold to KeepEnded correspond to the fields of run.Bounds and
	// are explained there too.
	QueueBounds struct {
		MaxHold   tw.Duration `toml:"max_hold"`
		StopTime  tw.Duration `toml:"stop_time"`
		KeepEnded tw.Duration `toml:"keep_ended"`
		// HolderTime is the least time between the orders of two holders for one
		// machine.
		HolderTime tw.Duration `toml:"holder_time"`
		// StopGrace is the time from SIGTERM to SIGKILL, in which a graceful
		// shutdown must end.
		StopGrace tw.Duration `toml:"stop_grace"`
	}
)

// LoadQueueSettings reads a settings file. Errors in its content are of type
// tw.ValidationErrors; a file that can't be read is another error.
func LoadQueueSettings(path string) (QueueSettings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return QueueSettings{}, errors.Wrap(err, "daemon.LoadQueueSettings")
	}
	var s QueueSettings
	err = tomlfile.Decode(source, &s)
	return s, err
}

// SetDefaults sets the defaults of missing values. The bounds are those of the
// platform's present deployments.
func (s *QueueSettings) SetDefaults() {
	setDefault(&s.Platform.MinLease, tw.Duration(time.Second))
	setDefault(&s.Limits.MemoryMB, 284)
	setDefault(&s.Limits.Cores, 0.4)
	setDefault(&s.Bounds.MaxHold, tw.Duration(6*time.Second))
	setDefault(&s.Bounds.StopTime, tw.Duration(400*time.Millisecond))
	setDefault(&s.Bounds.KeepEnded, tw.Duration(2*time.Minute))
	setDefault(&s.Bounds.HolderTime, tw.Duration(3*time.Second))
	setDefault(&s.Bounds.StopGrace, tw.Duration(6*time.Second))
	// Switching a machine on again takes 1.5 s, in which its pool lacks it, and
	// each move costs as much as running the machine for two seconds. docs/DESIGN.md compares
	// this value with 3 s.
	setDefault(&s.Machines.ParkAfter, tw.Duration(time.Minute))
	setDefault(&s.Log.Level, "info")
}

// Validate reports all faults; the error is of type tw.ValidationErrors.
func (s *QueueSettings) Validate() error {
	var faults tw.ValidationErrors
	checkRequired(&faults, "id", string(s.ID))
	checkRequired(&faults, "hall", string(s.Hall))
	checkAddress(&faults, "listen.callers", s.Listen.Callers)
	checkAddress(&faults, "listen.readiness", s.Listen.Readiness)
	checkAddress(&faults, "listen.peers", s.Listen.Peers)
	if s.Listen.Metrics != "" {
		checkAddress(&faults, "listen.metrics", s.Listen.Metrics)
	}
	checkAddress(&faults, "platform.store", s.Platform.Store)
	checkAddress(&faults, "platform.machines", s.Platform.Machines)
	if s.Platform.Advice != "" {
		checkAddress(&faults, "platform.advice", s.Platform.Advice)
	}
	s.validateBounds(&faults)
	checkLogLevel(&faults, s.Log.Level)
	return faults.Err()
}

func (s *QueueSettings) validateBounds(faults *tw.ValidationErrors) {
	bounds := map[string]tw.Duration{
		"platform.min_lease":  s.Platform.MinLease,
		"bounds.max_hold":     s.Bounds.MaxHold,
		"bounds.stop_time":    s.Bounds.StopTime,
		"bounds.keep_ended":   s.Bounds.KeepEnded,
		"bounds.holder_time":  s.Bounds.HolderTime,
		"bounds.stop_grace":   s.Bounds.StopGrace,
		"machines.park_after": s.Machines.ParkAfter,
	}
	for _, field := range slices.Sorted(maps.Keys(bounds)) {
		checkPositive(faults, field, int64(bounds[field]))
	}
	checkPositive(faults, "limits.memory_mb", s.Limits.MemoryMB)
	if s.Limits.Cores <= 0 {
		faults.Add("limits.cores", "must be above 0")
	}
	if s.Limits.LinkMbps < 0 {
		faults.Add("limits.link_mbps", "must not be below 0")
	}
}

const (
	bytesPerMegabit = 1e6 / 8
	// slowLink is the bandwidth up to which a small daemon runs out of bandwidth before it
	// runs out of processor time.
	slowLink tw.BytesPerSecond = 4 * bytesPerMegabit
)

// link returns the bandwidth of the daemon's link, or zero if unknown.
func (s *QueueSettings) link() tw.BytesPerSecond {
	return tw.BytesPerSecond(s.Limits.LinkMbps * bytesPerMegabit)
}
