package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/daemon"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

const queueHelp = `Accept submissions and run their subtasks on the platform's workers.

The path of the settings file is given by the flag or by the variable
TAMARINDWORKS_CONFIG, which the platform sets. The file is read again on SIGHUP
and when it has changed; changes take effect at the next start.

Examples:

  tamarindd queue --settings /etc/tamarindd-queue.toml
  tamarindd queue --check --settings deploy/filled.toml
`

const (
	// settingsVariable is the environment variable in which the platform gives
	// the path of the settings file.
	settingsVariable = "TAMARINDWORKS_CONFIG"
	// settingsPoll is the interval at which the settings file is checked for
	// changes.
	settingsPoll = time.Second
	// stopMargin is how long before the end of the platform's grace period a
	// planned stop gives up.
	stopMargin = 500 * time.Millisecond
)

// queueCommand runs the queue daemon, which accepts submissions.
type queueCommand struct {
	name  string
	path  *string
	check *bool
}

func addQueue(app *kingpin.Application) *queueCommand {
	c := app.Command("queue", queueHelp)
	return &queueCommand{
		name:  c.FullCommand(),
		path:  c.Flag("settings", "Settings file, TOML.").Envar(settingsVariable).Required().String(),
		check: c.Flag("check", "Check the settings and exit.").Bool(),
	}
}

func (c *queueCommand) run(signals *signals) int {
	settings, err := daemon.LoadQueueSettings(*c.path)
	if err != nil {
		return reportBadSettings(*c.path, err)
	}
	if *c.check {
		return 0
	}
	log, sink, err := logger(settings.Log.Level)
	if err != nil {
		return reportFailure(err)
	}
	defer sink.Close()
	d, err := daemon.QueueConfig{Settings: settings, Log: log}.New()
	if err != nil {
		return reportFailure(err)
	}
	c.waitForStop(d, signals, log)
	ctx, cancel := context.WithTimeout(context.Background(), settings.Bounds.StopGrace.Std()-stopMargin)
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		log.Error("daemon: planned stop failed", logsink.Err(err))
		return exitFailed
	}
	return 0
}

// waitForStop reads the settings file again on SIGHUP and when it has changed,
// and returns when the process is told to stop.
func (c *queueCommand) waitForStop(d *daemon.QueueDaemon, signals *signals, log *zap.Logger) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	written := c.modTime()
	for {
		select {
		case <-signals.stop:
			return
		case <-signals.reload:
		case <-ticker.C:
			now := c.modTime()
			if now.Equal(written) {
				continue
			}
			written = now
		}
		c.reload(d, log)
	}
}

// reload reads the settings file again and logs whether it is valid and has
// changed. Changes take effect at the next start.
func (c *queueCommand) reload(d *daemon.QueueDaemon, log *zap.Logger) {
	settings, err := daemon.LoadQueueSettings(*c.path)
	if err != nil {
		log.Error("daemon: new settings are invalid, the previous ones stay in force", logsink.Err(err))
		return
	}
	d.LogSettingsChange(settings)
}

// modTime returns when the settings file was last written; zero if unknown.
func (c *queueCommand) modTime() time.Time {
	info, err := os.Stat(*c.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
