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
)

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// address is the first line that it printed, if asked for.
	address string
	reaper  sync.WaitGroup
	// exited is closed when the process has ended.
	exited chan struct{}
}

// start runs a program; with address, it waits for the line that tells it.
// The fleet ends it.
func start(name string, address bool, program string, args ...string) *process {
	GinkgoHelper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(bin, program), args...), exited: make(chan struct{})}
	p.cmd.Stderr = GinkgoWriter
	stdout, err := p.cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(p.cmd.Start()).To(Succeed())
	lines := bufio.NewReader(stdout)
	if address {
		line, err := lines.ReadString('\n')
		Expect(err).NotTo(HaveOccurred(), name)
		p.address = line[:len(line)-1]
	}
	p.reaper.Go(func() {
		defer close(p.exited)
		_, _ = io.Copy(GinkgoWriter, lines)
		_ = p.cmd.Wait() // the exit code is looked at where it matters
	})
	return p
}

// running tells whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s) // it may have ended
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.reaper.Wait()
}

// stop is a planned stop; it returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	p.reaper.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// forceKill makes sure that the process is gone.
func (p *process) forceKill() {
	p.signal(syscall.SIGCONT)
	p.kill()
}

// run runs a program to its end.
func run(program string, args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(bin, program), args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}
