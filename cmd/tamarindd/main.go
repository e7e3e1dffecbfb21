// Command tamarindd is the daemon of tamarindworks. It forwards each caller's
// request to an instance that runs its job, or accepts submissions and runs
// their subtasks on the platform's workers.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

const help = `The daemon of tamarindworks.

It reads its settings from one TOML file and needs no disk. SIGTERM or SIGINT
is a planned stop: the daemon reports that it is not ready, hands over what it
owns, finishes what is in flight, and exits.

Exit codes: 0 planned stop, 1 start or planned stop failed, 2 invalid settings
(all errors are printed, with their lines).
`

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	signals := receiveSignals()
	app := kingpin.New("tamarindd", help)
	app.Version("tamarindd " + version())
	serve := addServe(app)
	queue := addQueue(app)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case queue.name:
		os.Exit(queue.run(signals))
	default:
		os.Exit(serve.run(signals))
	}
}

// reportBadSettings prints the errors of a settings file and returns the exit
// code.
func reportBadSettings(path string, err error) int {
	fmt.Fprintf(os.Stderr, "tamarindd: %s:\n%v\n", path, err)
	return exitBadSettings
}

func reportFailure(err error) int {
	fmt.Fprintf(os.Stderr, "tamarindd: %v\n", err)
	return exitFailed
}

// logger returns a logger that writes JSON lines to standard output without
// blocking. The first line has the version of the program.
func logger(level string) (*zap.Logger, *logsink.Sink, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "logger")
	}
	sink := logsink.Config{Out: os.Stdout}.New()
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, parsed)
	log := zap.New(core)
	log.Info("daemon: starting", zap.String("version", version()))
	return log, sink, nil
}
