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
	// QueueSettings is the TOML file of a daemon that takes submissions on
	// the platform. The platform fills deploy/settings.toml.tmpl to make it.
	// The names begin with Queue to tell them from the parts of Settings, the
	// file of the entry daemon.
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

	// QueueListen says where the daemon listens, as IP:port.
	QueueListen struct {
		// Callers takes the requests of those who submit work.
		Callers string `toml:"callers"`
		// Readiness answers the platform's balancer.
		Readiness string `toml:"readiness"`
		// Peers answers the other daemons.
		Peers string `toml:"peers"`
		// Metrics may be empty: then metrics are not served.
		Metrics string `toml:"metrics"`
	}

	// QueuePlatform says where the platform's services are, as IP:port.
	QueuePlatform struct {
		// Store is the metadata store, Machines the machine interface.
		Store    string `toml:"store"`
		Machines string `toml:"machines"`
		// Advice may be empty where no route asks for it.
		Advice string `toml:"advice"`
		// MinLease is the shortest lease that the store grants.
		MinLease tw.Duration `toml:"min_lease"`
		// Contracts are the parts of the platform's rules that the deployment has.
		Contracts []string `toml:"contracts"`
	}

	// QueueProcessLimits bounds the process.
	QueueProcessLimits struct {
		// MemoryMB is the memory that the process may use, in units of 1<<20
		// bytes.
		MemoryMB int64 `toml:"memory_mb"`
		// Cores is the share of processor cores that the process has. It sets
		// no limit: daemons with more take pools first.
		Cores tw.Cores `toml:"cores"`
		// LinkMbps is what the daemon's link carries in one direction, in Mbit/s; zero if
		// that is not known. Owners take no more work than it can carry the orders of.
		LinkMbps float64 `toml:"link_mbps"`
	}

	// QueueMachines says how machines are held.
	QueueMachines struct {
		// ParkAfter is for how long no pool may have needed a machine before it
		// is switched off.
		ParkAfter tw.Duration `toml:"park_after"`
	}

	// QueueBounds are the platform's figures; docs/SETTINGS.md explains each.
	// Those from MaxHold to KeepEnded are the fields of run.Bounds under the
	// keys of the file, and are explained there too.
	QueueBounds struct {
		MaxHold   tw.Duration `toml:"max_hold"`
		StopTime  tw.Duration `toml:"stop_time"`
		KeepEnded tw.Duration `toml:"keep_ended"`
		// HolderTime must pass between the orders of two holders for one
		// machine.
		HolderTime tw.Duration `toml:"holder_time"`
		// StopGrace is the time from SIGTERM to SIGKILL, in which a planned
		// stop must end.
		StopGrace tw.Duration `toml:"stop_grace"`
	}
)

// LoadQueueSettings reads a settings file. Faults are of type tw.Faults; a
// file that can't be read is another error.
func LoadQueueSettings(path string) (QueueSettings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return QueueSettings{}, errors.Wrap(err, "daemon.LoadQueueSettings")
	}
	var s QueueSettings
	err = tomlfile.Decode(source, &s)
	return s, err
}

// SetDefaults fills what was left out. The bounds are those of the platform's
// present deployments.
func (s *QueueSettings) SetDefaults() {
	setDefault(&s.Platform.MinLease, tw.Duration(time.Second))
	setDefault(&s.Limits.MemoryMB, 284)
	setDefault(&s.Limits.Cores, 0.4)
	setDefault(&s.Bounds.MaxHold, tw.Duration(6*time.Second))
	setDefault(&s.Bounds.StopTime, tw.Duration(400*time.Millisecond))
	setDefault(&s.Bounds.KeepEnded, tw.Duration(2*time.Minute))
	setDefault(&s.Bounds.HolderTime, tw.Duration(3*time.Second))
	setDefault(&s.Bounds.StopGrace, tw.Duration(6*time.Second))
	// Bringing a machine back takes 1.5 s, in which its pool is short of it,
	// and each move is paid for like two seconds of the machine. Measured on
	// the bench against 3 s: see docs/DESIGN.md.
	setDefault(&s.Machines.ParkAfter, tw.Duration(time.Minute))
	setDefault(&s.Log.Level, "info")
}

// Validate gathers all faults; the error is of type tw.Faults.
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
	// bytesPerMegabit is a megabit in bytes.
	bytesPerMegabit = 1e6 / 8
	// slowLink is full before the processor of a small daemon is.
	slowLink tw.BytesPerSecond = 4 * bytesPerMegabit
)

// link is what the daemon's link carries; zero if that is not known.
func (s *QueueSettings) link() tw.BytesPerSecond {
	return tw.BytesPerSecond(s.Limits.LinkMbps * bytesPerMegabit)
}
