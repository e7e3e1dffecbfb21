package e2e

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

type (
	// earlySignals are the signals that a daemon gets as soon as it listens for callers.
	earlySignals struct {
		command string // of tamarindd
		// pending signals are delivered together, in the order of their numbers, while the
		// daemon still starts; later ones follow.
		pending, later []syscall.Signal
	}

	// daemonSettings returns the settings of a daemon that listens for callers on an address.
	daemonSettings func(id int, callers string) string
)

const (
	// earlyRounds is the number of processes that each case runs beside each other: the pause
	// may come too late in one of them.
	earlyRounds = 8
	// dialPause leaves the processor to the daemons that start, and is short beside the time that
	// passes between their first listener and the end of their start.
	dialPause = 20 * time.Microsecond
	// startLimit bounds how long a program takes until it listens.
	startLimit = 20 * time.Second
	// stopLimit is the platform's limit for the time from SIGTERM to the exit.
	stopLimit = 6 * time.Second
)

var earlyCases = map[string]earlySignals{
	"serve, SIGTERM":              {command: "serve", pending: []syscall.Signal{syscall.SIGTERM}},
	"serve, SIGINT":               {command: "serve", pending: []syscall.Signal{syscall.SIGINT}},
	"serve, SIGTERM twice":        {command: "serve", pending: []syscall.Signal{syscall.SIGTERM}, later: []syscall.Signal{syscall.SIGTERM}},
	"serve, SIGHUP, then SIGTERM": {command: "serve", pending: []syscall.Signal{syscall.SIGHUP}, later: []syscall.Signal{syscall.SIGTERM}},
	"serve, SIGTERM, then SIGHUP": {command: "serve", pending: []syscall.Signal{syscall.SIGTERM}, later: []syscall.Signal{syscall.SIGHUP}},
	"queue, SIGTERM":              {command: "queue", pending: []syscall.Signal{syscall.SIGTERM}},
	"queue, SIGTERM twice":        {command: "queue", pending: []syscall.Signal{syscall.SIGTERM}, later: []syscall.Signal{syscall.SIGTERM}},
	"queue, SIGTERM, then SIGHUP": {command: "queue", pending: []syscall.Signal{syscall.SIGTERM}, later: []syscall.Signal{syscall.SIGHUP}},
	"queue, SIGHUP and SIGTERM":   {command: "queue", pending: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}},
	"queue, SIGHUP, then SIGTERM": {command: "queue", pending: []syscall.Signal{syscall.SIGHUP}, later: []syscall.Signal{syscall.SIGTERM}},
}

// earlySettings returns the settings of each command, after starting what its daemons need.
var earlySettings = map[string]func() daemonSettings{"serve": serveSettings, "queue": queueSettings}

// A signal that comes while a daemon starts must not end it like a crash: connections in the
// backlogs of its listeners would be reset, with the requests that callers have sent on them.
var _ = Describe("a daemon that is told to stop as soon as it listens", func() {
	for _, name := range slices.Sorted(maps.Keys(earlyCases)) {
		It("answers the request in its backlog: "+name, func() { earlyCases[name].run() })
	}
})

// run runs a case with several processes beside each other.
func (c earlySignals) run() {
	settings, dir := earlySettings[c.command](), GinkgoT().TempDir()
	// All addresses are chosen before the first start: a process that is being started inherits
	// the listeners of this one for a moment.
	var addresses, paths []string
	for n := range earlyRounds {
		address, path := freeAddress(), filepath.Join(dir, fmt.Sprintf("%d.toml", n))
		Expect(os.WriteFile(path, []byte(settings(n, address)), 0o600)).To(Succeed())
		addresses, paths = append(addresses, address), append(paths, path)
	}
	var wg sync.WaitGroup
	for n := range earlyRounds {
		wg.Go(func() {
			defer GinkgoRecover()
			c.signalEarly(addresses[n], paths[n])
		})
	}
	wg.Wait()
}

func serveSettings() daemonSettings {
	p := start("platform", true, "tamarind-standin", "platform", "--silence", "2s")
	DeferCleanup(p.forceKill)
	return func(id int, callers string) string {
		return fmt.Sprintf("id = \"e%d\"\nhall = \"h\"\ninstance = \"e%d\"\n[listen]\ngateway = %q\npeer = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n[platform]\nurl = %q\n",
			id, id, callers, "http://"+p.address)
	}
}

func queueSettings() daemonSettings {
	store := startServer(standin.KVConfig{}.New().Handler())
	machines := startServer(standin.CloudConfig{}.New().Handler())
	return func(id int, callers string) string {
		return fmt.Sprintf("id = \"d%d\"\nhall = \"h\"\n[listen]\ncallers = %q\nreadiness = %q\npeers = %q\n[platform]\nstore = %q\nmachines = %q\n",
			id, callers, freeAddress(), freeAddress(), store, machines)
	}
}

// signalEarly starts a daemon and pauses it once it listens, so that the request and the pending
// signals arrive before it goes on.
func (c earlySignals) signalEarly(address, path string) {
	p := start(c.command, false, "tamarindd", c.command, "--settings", path)
	defer p.forceKill()
	conn := dialOnceListening(address)
	defer conn.Close()
	p.signal(syscall.SIGSTOP)
	_, err := io.WriteString(conn, "POST /x/00000000000000a1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	Expect(err).NotTo(HaveOccurred())
	p.signalAll(c.pending)
	p.signal(syscall.SIGCONT)
	p.signalAll(c.later)
	Expect(conn.SetDeadline(time.Now().Add(stopLimit))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	Eventually(p.exited, stopLimit).Should(BeClosed())
	Expect(p.cmd.ProcessState.ExitCode()).To(BeZero())
}

// dialOnceListening connects as soon as the address accepts connections.
func dialOnceListening(address string) net.Conn {
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
		time.Sleep(dialPause)
	}
	Fail("nothing listens on " + address)
	return nil
}
