package e2e

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/agecheck"
)

// process is a program started by a test.
type process struct {
	name string
	cmd  *exec.Cmd
	// address is the first line of its standard output, if start was asked to read it.
	address string
	reaper  sync.WaitGroup
	// exited is closed when the process has exited.
	exited chan struct{}
}

// start starts a program. If readAddress is set, it waits for the first line of output,
// which holds the address. The caller must end the process. The test fails if its log has an impossible
// age.
func start(name string, readAddress bool, program string, args ...string) *process {
	GinkgoHelper()
	checked := agecheck.Lines(GinkgoT())
	p := &process{name: name, cmd: exec.Command(filepath.Join(bin, program), args...), exited: make(chan struct{})}
	p.cmd.Stderr = GinkgoWriter
	stdout, err := p.cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(p.cmd.Start()).To(Succeed())
	lines := bufio.NewReader(stdout)
	if readAddress {
		line, err := lines.ReadString('\n')
		Expect(err).NotTo(HaveOccurred(), name)
		p.address = line[:len(line)-1]
	}
	p.reaper.Go(func() {
		defer close(p.exited)
		_, _ = io.Copy(io.MultiWriter(GinkgoWriter, checked), lines)
		_ = p.cmd.Wait() // stop returns the exit code
	})
	return p
}

// running reports whether the process has not exited yet.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s) // the process may have exited
}

func (p *process) signalAll(signals []syscall.Signal) {
	for _, s := range signals {
		p.signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.reaper.Wait()
}

// stop requests a graceful shutdown with SIGTERM and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	p.reaper.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// forceKill kills the process and waits for its exit, also if it is paused by SIGSTOP.
func (p *process) forceKill() {
	p.signal(syscall.SIGCONT)
	p.kill()
}

// run runs a program until it exits and returns its output and exit code.
func run(program string, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}
