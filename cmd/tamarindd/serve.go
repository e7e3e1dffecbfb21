package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/daemon"
)

const serveHelp = `Forward callers' requests to instances (the default).

The settings file is read at the start only. SIGHUP is logged and ignored.

Example:

  tamarindd --settings /etc/tamarindd.toml
`

// serveCommand runs the entry daemon.
type serveCommand struct {
	path  *string
	check *bool
}

func addServe(app *kingpin.Application) *serveCommand {
	c := app.Command("serve", serveHelp).Default()
	return &serveCommand{
		path:  c.Flag("settings", "Settings file, TOML.").Required().String(),
		check: c.Flag("check", "Check the settings and exit.").Bool(),
	}
}

func (c *serveCommand) run(signals *signals) int {
	settings, err := daemon.LoadSettings(*c.path)
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
	d, err := daemon.Config{Settings: settings, Log: log, Clock: tw.SystemClock{}}.New()
	if err != nil {
		return reportFailure(err)
	}
	c.waitForStop(signals, log)
	ctx, cancel := context.WithTimeout(context.Background(), settings.Limits.StopTimeout.Std())
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		log.Error("daemon: planned stop failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

// waitForStop returns when the process is told to stop.
func (c *serveCommand) waitForStop(signals *signals, log *zap.Logger) {
	for {
		select {
		case <-signals.stop:
			return
		case <-signals.reload:
			log.Info("daemon: SIGHUP ignored; settings are read at the start only")
		}
	}
}
