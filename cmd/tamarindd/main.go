// Command tamarindd is the daemon of tamarindworks: it takes callers' requests
// and brings each to an instance that carries its job, or takes submissions
// and runs their subtasks on the platform's workers.
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
is a planned stop: the daemon says that it is not ready, hands over what it
owns, finishes what is in flight, and exits.

Exit codes: 0 planned stop, 1 it could not start or stop in order, 2 bad
settings (every fault is printed, with its line).
`

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() {
	app := kingpin.New("tamarindd", help)
	serve := addServe(app)
	queue := addQueue(app)
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case queue.name:
		os.Exit(queue.run())
	default:
		os.Exit(serve.run())
	}
}

// reportBadSettings prints all faults of a settings file.
func reportBadSettings(path string, err error) int {
	fmt.Fprintf(os.Stderr, "tamarindd: %s:\n%v\n", path, err)
	return exitBadSettings
}

func reportFailure(err error) int {
	fmt.Fprintf(os.Stderr, "tamarindd: %v\n", err)
	return exitFailed
}

// logger writes structured lines to standard output, without ever blocking.
func logger(level string) (*zap.Logger, *logsink.Sink, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "logger")
	}
	sink := logsink.Config{Out: os.Stdout}.New()
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, parsed)
	return zap.New(core), sink, nil
}
