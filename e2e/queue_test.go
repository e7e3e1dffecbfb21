package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const (
	queuePool = "checks"
	queueHost = "a.example"
)

// queueRig is a platform of stand-ins with three daemons as processes.
type queueRig struct {
	kv    *standin.KV
	fleet *standin.Fleet
	cloud *standin.Cloud
	dir   string
	store string // its address
	// contracts are the parts of the platform's rules, as in the settings.
	contracts string

	mu              sync.Mutex
	daemons         map[string]*process
	callerAddresses map[string]string // addresses, by daemon
}

// latencies pass before the answers of the stand-ins.
type latencies struct{ store, workers time.Duration }

// newPlatformRig is the stand-ins, without workers and daemons.
func newPlatformRig(l latencies) *queueRig {
	return &queueRig{
		kv: standin.KVConfig{Latency: l.store}.New(),
		fleet: standin.FleetConfig{
			Latency: l.workers, MaxHold: 6 * time.Second, StopTime: 100 * time.Millisecond, StartupTime: 100 * time.Millisecond,
		}.New(),
		cloud: standin.CloudConfig{MoveTime: time.Second, MaintenanceTime: time.Second}.New(),
		dir:   GinkgoT().TempDir(), daemons: map[string]*process{}, callerAddresses: map[string]string{},
	}
}

func newQueueRig(workers int) *queueRig {
	r := newPlatformRig(latencies{})
	r.configure(1)
	for n := range workers {
		r.addWorker(n)
	}
	r.store = startServer(r.kv.Handler())
	machines := startServer(r.cloud.Handler())
	for _, id := range []string{"d1", "d2", "d3"} {
		r.start(id, r.store, machines)
	}
	return r
}

// configure writes the operators' configuration: one pool, a route to it, and
// one that only this version has.
func (r *queueRig) configure(version int) {
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"timeoutMs":5000,"targetLatencyMs":600,"service":%q,"attempts":3,"stretch":1.6}`,
			name, queueHost, prefix, queuePool)
	}
	r.kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[{"name":%q}],"limits":{"maxBodyBytes":100000}}`,
		version, route("r", "/x/"), route("v", versionPath(version)), queuePool))
}

// versionPath is the path of the route that only a version has.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

func startServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (r *queueRig) addWorker(n int) { r.serveWorker(n, func(address string) string { return address }) }

// addProxiedWorker adds a worker that daemons reach by a proxy.
func (r *queueRig) addProxiedWorker(n int) *proxy {
	var p *proxy
	r.serveWorker(n, func(address string) string {
		p = newProxy(address)
		return p.address()
	})
	return p
}

// serveWorker starts a worker and lists it under the address that by makes of
// its own.
func (r *queueRig) serveWorker(n int, by func(address string) string) {
	id := tw.WorkerID(fmt.Sprintf("w%d", n))
	server := httptest.NewUnstartedServer(nil)
	entry := tw.WorkerEntry{
		ID: id, Pool: queuePool, Address: by(server.Listener.Addr().String()), Instance: tw.InstanceID(fmt.Sprintf("m%d", n)),
		Capacity: tw.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{"a", "r1"},
	}
	r.fleet.Add(entry)
	server.Config.Handler = r.fleet.Handler(id)
	server.Start()
	DeferCleanup(server.Close)
	r.cloud.Add(tw.Machine{ID: entry.Instance, Pool: queuePool, State: tw.MachineUp, Worker: id, Capacity: entry.Capacity})
	r.kv.Put(tw.Key("servers/"+string(id)), standin.WorkerBody(entry))
}

// addressCount numbers the addresses that were given out.
var addressCount atomic.Int64

// freeAddress is an address on which nothing listens. Each has an IP of the
// loopback range of its own: a port of 127.0.0.1 may be taken by an outgoing
// connection before the daemon listens there.
func freeAddress() string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%64, pid%256, 1+addressCount.Add(1)%250)
	l, err := net.Listen("tcp", ip+":0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func (r *queueRig) start(id, store, machines string) {
	r.callerAddresses[id] = freeAddress()
	text := fmt.Sprintf("id = %q\nhall = \"h\"\n[listen]\ncallers = %q\nreadiness = %q\npeers = %q\n[platform]\nstore = %q\nmachines = %q\n%s\n",
		id, r.callerAddresses[id], freeAddress(), freeAddress(), store, machines, r.contracts)
	Expect(os.WriteFile(r.settingsPath(id), []byte(text), 0o600)).To(Succeed())
	r.ensureRunning(id)
	DeferCleanup(func() { r.daemon(id).forceKill() })
}

func (r *queueRig) settingsPath(id string) string { return filepath.Join(r.dir, id+".toml") }

// ensureRunning starts a daemon's process if none of it runs.
func (r *queueRig) ensureRunning(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.daemons[id]; p != nil && p.running() {
		p.signal(syscall.SIGCONT)
		return
	}
	r.daemons[id] = start(id, false, "tamarindd", "queue", "--settings", r.settingsPath(id))
}

// daemon is the present process of a daemon.
func (r *queueRig) daemon(id string) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.daemons[id]
}

// callerAddress is where a daemon takes the requests of callers.
func (r *queueRig) callerAddress(id string) string { return r.callerAddresses[id] }

// call asks a daemon without a key; zero is the status of no answer.
func (r *queueRig) call(daemon, method, path, body string) (int, string) {
	return r.callWithKey("", daemon, method, path, body)
}

// callWithKey asks a daemon with a key; empty is none.
func (r *queueRig) callWithKey(key, daemon, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+r.callerAddresses[daemon]+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = queueHost
	if key != "" {
		req.Header.Set("Tamarindworks-Credential", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// submit hands work in, again and again until it is accepted.
func (r *queueRig) submit(daemon, id string, steps []tw.Step) {
	s := &tw.Submission{ID: tw.SubmissionID(id), Steps: steps, Policy: tw.RoutePolicy{Attempts: 3}}
	r.fleet.RegisterSubmission(s, nil)
	body := submissionBody(steps)
	Eventually(func() int {
		status, _ := r.call(daemon, "POST", "/x/"+id, body)
		return status
	}, 30*time.Second, 200*time.Millisecond).Should(Equal(http.StatusOK))
}

// submissionBody is a submission of steps as callers send it.
func submissionBody(steps []tw.Step) string {
	var rows []map[string]any
	for _, step := range steps {
		rows = append(rows, map[string]any{
			"count": step.Count, "cpu": step.Need.CPU, "estimatedMs": step.Estimate.Milliseconds(), "dependsOn": step.After,
		})
	}
	body, err := json.Marshal(map[string]any{"spec": "x", "steps": rows})
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

func (r *queueRig) state(daemon, id string) string {
	_, text := r.call(daemon, "GET", "/x/"+id, "")
	return text
}

// owner is the daemon that owns the pool.
func (r *queueRig) owner() string {
	item, err := r.kv.Get(GinkgoT().Context(), "tw/member/owner/"+queuePool)
	if err != nil {
		return ""
	}
	var o struct{ Daemon string }
	Expect(json.Unmarshal(item.Value, &o)).To(Succeed())
	return o.Daemon
}

var _ = Describe("submissions with real processes", func() {
	steps := []tw.Step{
		{Count: 6, Need: tw.Resources{CPU: 1000}, Estimate: 1500 * time.Millisecond},
		{Count: 4, Need: tw.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond, After: []int{0}},
	}

	It("run to their end though their owner is killed", func() {
		r := newQueueRig(3)
		r.submit("d1", "00000000000000a1", steps)
		Eventually(r.fleet.Starts, 20*time.Second, 20*time.Millisecond).Should(BeNumerically(">", 0))
		owner := r.owner()
		r.daemons[owner].kill()
		left := "d1"
		if owner == "d1" {
			left = "d2"
		}
		Eventually(func() string { return r.state(left, "00000000000000a1") }, 60*time.Second, 100*time.Millisecond).
			Should(ContainSubstring("completed"))
		Expect(r.fleet.Violations()).To(BeEmpty())
		Expect(r.owner()).NotTo(Equal(owner))
		out, code := run("tamarind", "queue", "status", "--store", r.store)
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring(queuePool))
		out, code = run("tamarind", "queue", "submission", "00000000000000a1", "--store", r.store)
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring(`"final": "succeeded"`))
	})

	It("are known to every daemon, and handed over by a planned stop", func() {
		r := newQueueRig(3)
		r.submit("d2", "00000000000000b1", steps)
		Eventually(r.owner, 30*time.Second, 50*time.Millisecond).ShouldNot(BeEmpty())
		owner := r.owner()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			r.daemons[owner].stop()
		}()
		for _, id := range []string{"d1", "d2", "d3"} {
			if id == owner {
				continue
			}
			Eventually(func() string { return r.state(id, "00000000000000b1") }, 60*time.Second, 100*time.Millisecond).
				Should(ContainSubstring("completed"))
		}
		Eventually(stopped, 20*time.Second).Should(BeClosed())
		Expect(r.fleet.Violations()).To(BeEmpty())
	})
})
