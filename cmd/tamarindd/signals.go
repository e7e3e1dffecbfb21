package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals receives the signals of the process. SIGHUP has a channel of its own, as a signal to
// stop that comes while one waits would be dropped.
type signals struct {
	stop   chan os.Signal // SIGTERM, SIGINT
	reload chan os.Signal // SIGHUP
}

// receiveSignals must be called before any listener is open: a signal without a handler ends the
// process and resets the connections in the listeners' backlogs.
func receiveSignals() *signals {
	s := &signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}
