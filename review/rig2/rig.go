package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

type (
	// rig is a small deployment: the store and the machines of the platform, workers, and daemons.
	rig struct {
		rec     *recorder
		dir     string
		trouble bool
		kv      *standin.KV
		cloud   *cloud
		fleet   *fleet
		// store and machines are the addresses of the platform's services.
		store, machines string
		daemons         []*daemonProcess
		servers         []*http.Server
		stopFleet       chan struct{}
	}

	// daemonProcess is a daemon with its addresses, which stay the same over restarts.
	daemonProcess struct {
		id, hall                  string
		callers, readiness, peers string
		settings                  string
		command                   *exec.Cmd
		exited                    chan struct{}
		log                       *os.File
	}

	// answer is what a caller got; the status is zero without an answer.
	answer struct {
		status int
		body   string
	}
)

const (
	// routeHost and routePrefix address the queue of the cases.
	routeHost   = "pule25.example"
	routePrefix = "/puxa400/"
	// callTimeout is how long callers wait for an answer.
	callTimeout = 3 * time.Second
	// startTimeout bounds the start of the deployment.
	startTimeout = 20 * time.Second
)

// errNotStarted means that the deployment did not start, so that the case says nothing.
var errNotStarted = errors.New("the deployment did not start")

func newRig(rec *recorder, trouble bool) (*rig, error) {
	temporary, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		rec: rec, dir: temporary, trouble: trouble,
		kv: standin.KVConfig{Latency: 4 * time.Millisecond}.New(), fleet: newFleet(rec), stopFleet: make(chan struct{}),
	}
	r.cloud = &cloud{rig: r}
	if r.store, err = r.listen(r.kv.Handler()); err != nil {
		return nil, err
	}
	if r.machines, err = r.listen(r.cloud.handler()); err != nil {
		return nil, err
	}
	go r.fleet.run(r.stopFleet)
	return r, nil
}

// listen serves a handler on a free port of the loopback interface.
func (r *rig) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addWorker starts a worker on a machine of its own.
func (r *rig) addWorker(w *worker) error {
	if err := r.fleet.add(w); err != nil {
		return err
	}
	r.cloud.add(w)
	r.kv.Put(tw.Key("servers/"+w.id), w.entry())
	return nil
}

// addWorkers starts workers of 16 cores and 32 GB, four a rack, over three halls.
func (r *rig) addWorkers(pool string, first, count int) error {
	for n := first; n < first+count; n++ {
		w := &worker{
			id: workerName(n), machine: fmt.Sprintf("m-%04d", n), pool: pool, hall: hallName(n), labels: []string{"a", fmt.Sprintf("r1-%d", n/4)},
			cpu: 16000, mem: 32768,
		}
		if err := r.addWorker(w); err != nil {
			return err
		}
	}
	return nil
}

func hallName(n int) string { return [...]string{"muscat-a", "muscat-b", "muscat-c"}[n%3] }

// configure writes a configuration with one route per queue prefix, each to a pool.
func (r *rig) configure(version int, pools []string, routes map[string]string) {
	config := map[string]any{"version": version, "limits": map[string]int{"maxBodyBytes": 262144}}
	var rows, services []map[string]any
	for prefix, pool := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "host": routeHost, "pathPrefix": prefix, "type": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": pool, "attempts": 4, "stretch": 1.6,
		})
	}
	for _, pool := range pools {
		services = append(services, map[string]any{"name": pool, "enforcesCapacity": false})
	}
	config["routes"], config["services"] = rows, services
	body, _ := json.Marshal(config)
	r.kv.Put("op/config", body)
	r.rec.logf("operator: configuration %s", body)
}

// startDaemons starts daemons in different halls and waits until all are ready and the pools have owners.
func (r *rig) startDaemons(count int, pools ...string) error {
	for n := range count {
		d := &daemonProcess{id: fmt.Sprintf("edge-%s-%d", hallName(n), n+1), hall: hallName(n)}
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8%64, os.Getpid()%250+1, n+2)
		addresses := make([]string, 4)
		for i := range addresses {
			address, err := freeAddress(ip)
			if err != nil {
				return err
			}
			addresses[i] = address
		}
		d.callers, d.readiness, d.peers = addresses[0], addresses[1], addresses[2]
		d.settings = filepath.Join(r.dir, d.id+".toml")
		text := fmt.Sprintf("id = %q\nhall = %q\n[listen]\ncallers = %q\nreadiness = %q\npeers = %q\nmetrics = %q\n"+
			"[platform]\nstore = %q\nmachines = %q\nmin_lease = \"1000ms\"\n"+
			"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n"+
			"[limits]\nmemory_mb = 284\ncores = 0.4\nlink_mbps = 1000.0\n"+
			"[bounds]\nmax_hold = \"10000ms\"\nstop_time = \"400ms\"\nkeep_ended = \"120s\"\nholder_time = \"3000ms\"\nstop_grace = \"6s\"\n",
			d.id, d.hall, d.callers, d.readiness, d.peers, addresses[3], r.store, r.machines)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
		if err := r.start(d); err != nil {
			return err
		}
	}
	return waitFor(startTimeout, func() bool {
		for _, d := range r.daemons {
			if !r.ready(d) {
				return false
			}
		}
		for _, pool := range pools {
			if r.owner(pool) == nil {
				return false
			}
		}
		return true
	}, errNotStarted)
}

// freeAddress returns an address on which nothing listens.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// start starts a daemon with the command of the deploy file.
func (r *rig) start(d *daemonProcess) error {
	log, err := os.OpenFile(filepath.Join(r.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/tamarindd", "queue")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TAMARINDWORKS_CONFIG=" + d.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	d.command, d.log, d.exited = command, log, make(chan struct{})
	exited := d.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	r.rec.logf("daemon %s: started, process %d", d.id, command.Process.Pid)
	return nil
}

func (r *rig) signal(d *daemonProcess, signal syscall.Signal) {
	r.rec.logf("daemon %s: signal %v", d.id, signal)
	_ = d.command.Process.Signal(signal)
}

// kill kills a daemon and waits until it has ended.
func (r *rig) kill(d *daemonProcess) {
	r.signal(d, syscall.SIGKILL)
	<-d.exited
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, d := range r.daemons {
		if d.command == nil {
			continue
		}
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
		<-d.exited
	}
	close(r.stopFleet)
	for _, w := range r.fleet.workers {
		_ = w.server.Close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

func (r *rig) ready(d *daemonProcess) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.readiness + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the daemon that gives the orders of a pool, as far as the store tells; nil if none does.
func (r *rig) owner(pool string) *daemonProcess {
	item, err := r.kv.Get(context.Background(), tw.Key("tw/member/owner/"+pool))
	if err != nil {
		return nil
	}
	var record struct {
		Daemon string `json:"daemon"`
	}
	if json.Unmarshal(item.Value, &record) != nil {
		return nil
	}
	for _, d := range r.daemons {
		if d.id == record.Daemon {
			return d
		}
	}
	return nil
}

// call makes a request as a caller does.
func (r *rig) call(d *daemonProcess, method, path string, body any) answer {
	var in io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		in = strings.NewReader(string(text))
	}
	request, err := http.NewRequest(method, "http://"+d.callers+path, in)
	if err != nil {
		return answer{}
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var out answer
	resp, err := client.Do(request)
	if err == nil {
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out = answer{status: resp.StatusCode, body: string(text)}
	}
	r.rec.logf("caller to %s: %s %s -> %d %s", d.id, method, path, out.status, out.body)
	return out
}

// submit submits a job at a daemon, again until it is accepted.
func (r *rig) submit(d *daemonProcess, prefix, id string, job jobSpec) error {
	r.fleet.mu.Lock()
	r.fleet.jobs[id] = job
	r.fleet.mu.Unlock()
	return waitFor(startTimeout, func() bool { return r.call(d, http.MethodPost, prefix+id, job).status == http.StatusOK },
		fmt.Errorf("job %s was not accepted", id))
}

// state returns the state of a job as a daemon tells it, empty if it does not.
func (r *rig) state(d *daemonProcess, prefix, id string) string {
	got := r.call(d, http.MethodGet, prefix+id, nil)
	var body struct {
		State string `json:"state"`
	}
	if got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &body) != nil {
		return ""
	}
	return body.State
}

// waitFor polls a condition, and returns the given error if it does not hold in time.
func waitFor(limit time.Duration, holds func() bool, otherwise error) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return otherwise
}
