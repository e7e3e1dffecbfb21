// Command tamarindd is the entry daemon: it takes callers' requests and
// brings each to an instance that carries its job.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/daemon"
)

const help = `The entry daemon of tamarindworks.

It reads its settings from one TOML file and needs no disk. SIGTERM or SIGINT
is a planned stop: the daemon says that it is not ready, finishes what is in
flight, gives back its lease and its place in the roster, and exits.

Exit codes: 0 planned stop, 1 it could not start or stop in order, 2 bad
settings (every fault is printed, with its line).

Example:

  tamarindd --settings /etc/tamarindd.toml
`

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	app := kingpin.New("tamarindd", help)
	path := app.Flag("settings", "Settings file, TOML.").Required().String()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*path, *check))
}

func run(path string, check bool) int {
	settings, err := daemon.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindd: %s:\n%v\n", path, err)
		return exitBadSettings
	}
	if check {
		return 0
	}
	log, err := logger(settings.Log.Level)
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindd: %v\n", err)
		return exitFailed
	}
	d, err := daemon.Config{Settings: settings, Log: log, Clock: tw.SystemClock{}}.New()
	if err != nil {
		fmt.Fprintf(os.Stderr, "tamarindd: %v\n", err)
		return exitFailed
	}
	return untilStopped(d, settings, log)
}

func untilStopped(d *daemon.Daemon, settings daemon.Settings, log *zap.Logger) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.Limits.StopTimeout.Std())
	defer cancel()
	if err := d.Stop(ctx); err != nil {
		log.Error("daemon: planned stop failed", zap.Error(err))
		return exitFailed
	}
	return 0
}

func logger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "logger")
	}
	config.Level = parsed
	config.Sampling = nil
	return config.Build()
}
