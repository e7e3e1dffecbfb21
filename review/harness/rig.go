// Command harness runs the review's scripted cases: it starts the project's daemons as separate
// processes beside stand-ins of the platform, brings about the disruption of one case, and checks
// one rule by what callers and workers see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const (
	pool     = "timing"
	host     = "records.example"
	prefix   = "/puxa400/"
	workers  = 4
	inboxKey = "tw/inbox/" + pool + "/"

	// restartDelay is when the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond

	// Bounds of a small deployment (sites/falaj-runs.toml).
	maxHold   = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	contact   = 3 * time.Second
	cancelMax = 3 * time.Second
)

type (
	// rig is a simulated platform with daemons as separate processes.
	rig struct {
		kv    *standin.KV
		fleet *standin.Fleet
		cloud *standin.Cloud
		dir   string

		out     *os.File
		began   time.Time
		servers []*httptest.Server

		mu      sync.Mutex
		closed  bool
		daemons map[string]*daemon
		starts  []start
		// intercept handles a transaction in place of the store; nil for none. It returns false
		// to leave it to the store.
		intercept func(daemon string, t txn, serve func() int) (handled bool)
		// watches are the times of each daemon's last watch of the inbox.
		watches map[string]time.Time
		// proxies lead from each daemon to the store.
		proxies map[string]*proxy
		// latency is the time that the store takes for a call beyond its usual 4 ms.
		latency time.Duration
	}

	daemon struct {
		id, callers string
		cmd         *exec.Cmd
	}

	// start is a start that a worker accepted.
	start struct {
		at           time.Time
		worker, task string
	}

	// txn is the content of a transaction of the store.
	txn struct {
		Puts []struct {
			Key   tw.Key `json:"tlsKey"`
			Value []byte `json:"value"`
		} `json:"put"`
		Removes []tw.Key `json:"remove"`
	}
)

// newRig starts the platform's stand-ins and the daemons, and records to a file.
func newRig(record string, ids ...string) (*rig, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		kv:    standin.KVConfig{Latency: 4 * time.Millisecond}.New(),
		fleet: standin.FleetConfig{Latency: time.Millisecond, MaxHold: maxHold, StopTime: stopTime, StartupTime: 300 * time.Millisecond}.New(),
		cloud: standin.CloudConfig{MoveTime: 1500 * time.Millisecond, MaintenanceTime: 2 * time.Second}.New(),
		dir:   dir, out: out, began: time.Now(), daemons: map[string]*daemon{}, watches: map[string]time.Time{}, proxies: map[string]*proxy{},
	}
	r.kv.Put("op/config", fmt.Appendf(nil, `{"version":1,"routes":[{"name":"r","host":%q,"pathPrefix":%q,"timeoutMs":3000,"targetLatencyMs":600,"service":%q,"attempts":3,"stretch":1.6}],"services":[{"name":%q}],"limits":{"maxBodyBytes":262144}}`,
		host, prefix, pool, pool))
	for n := range workers {
		r.addWorker(n)
	}
	machines := r.serve(r.cloud.Handler())
	for _, id := range ids {
		if err := r.startDaemon(id, machines); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.servers = append(r.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// addWorker starts a worker of 16 cores on a machine of its own.
func (r *rig) addWorker(n int) {
	id := tw.WorkerID(fmt.Sprintf("w%d", n))
	server := httptest.NewUnstartedServer(nil)
	entry := tw.WorkerEntry{
		ID: id, Pool: pool, Address: server.Listener.Addr().String(), Instance: tw.InstanceID(fmt.Sprintf("m%d", n)),
		Hall: tw.HallID(fmt.Sprintf("muscat-%c", 'a'+n%3)), Capacity: tw.Resources{CPU: 16000, MemoryMB: 32768}, Labels: []string{"a", "r1"},
	}
	r.fleet.Add(entry)
	inner := r.fleet.Handler(id)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serveWorker(w, req, string(id), inner) })
	server.Start()
	r.servers = append(r.servers, server)
	r.cloud.Add(tw.Machine{ID: entry.Instance, Pool: pool, State: tw.MachineUp, Worker: id, Hall: entry.Hall, Capacity: entry.Capacity})
	r.kv.Put(tw.Key("servers/"+string(id)), standin.WorkerBody(entry))
}

// serveWorker passes an order to a worker and records starts and stops.
func (r *rig) serveWorker(w http.ResponseWriter, req *http.Request, id string, inner http.Handler) {
	if req.URL.Path == "/api/hold" {
		inner.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	var order struct {
		Task  string `json:"task"`
		Run   int64  `json:"run"`
		Fence int64  `json:"fencingToken"`
	}
	_ = json.Unmarshal(body, &order) // the worker rejects what is unreadable
	recorder := httptest.NewRecorder()
	inner.ServeHTTP(recorder, req)
	r.logf("worker %s: %s task %s run %d fence %d -> %d", id, req.URL.Path, order.Task, order.Run, order.Fence, recorder.Code)
	if req.URL.Path == "/api/run-start" && recorder.Code == http.StatusOK {
		r.mu.Lock()
		r.starts = append(r.starts, start{at: time.Now(), worker: id, task: order.Task})
		r.mu.Unlock()
	}
	copyResponse(w, recorder)
}

func copyResponse(w http.ResponseWriter, recorder *httptest.ResponseRecorder) {
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes()) // the daemon may be gone
}

// storeHandler is the store as one daemon reaches it, with its latency and, for transactions, the
// case's interception.
func (r *rig) storeHandler(daemon string) http.Handler {
	inner := r.kv.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		latency, intercept := r.latency, r.intercept
		r.mu.Unlock()
		if req.URL.Path != "/api/kv-watch" {
			time.Sleep(latency)
		} else if req.URL.Query().Get("pathPrefix") == inboxKey {
			r.mu.Lock()
			r.watches[daemon] = time.Now()
			r.mu.Unlock()
		}
		if req.URL.Path != "/api/kv-txn" {
			inner.ServeHTTP(w, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var t txn
		_ = json.Unmarshal(body, &t) // the store rejects what is unreadable
		recorder := httptest.NewRecorder()
		served := false
		serve := func() int {
			served = true
			copied := req.WithContext(context.WithoutCancel(req.Context()))
			copied.Body = io.NopCloser(bytes.NewReader(body))
			inner.ServeHTTP(recorder, copied)
			return recorder.Code
		}
		if intercept != nil && intercept(daemon, t, serve) {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if !served {
			serve()
		}
		copyResponse(w, recorder)
	})
}

func (t txn) puts(key tw.Key) (value []byte, found bool) {
	for _, p := range t.Puts {
		if p.Key == key {
			return p.Value, true
		}
	}
	return nil, false
}

func (t txn) removes(key tw.Key) bool {
	for _, k := range t.Removes {
		if k == key {
			return true
		}
	}
	return false
}

func (r *rig) setStore(latency time.Duration, intercept func(daemon string, t txn, serve func() int) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency, r.intercept = latency, intercept
}

// startDaemon starts a daemon with settings like those of a small deployment.
func (r *rig) startDaemon(id, machines string) error {
	d := &daemon{id: id, callers: freeAddress()}
	p, err := newProxy(r.serve(r.storeHandler(id)))
	if err != nil {
		return err
	}
	r.proxies[id] = p
	settings := fmt.Sprintf(`id = %q
hall = "muscat-%c"
[listen]
callers = %q
readiness = %q
peers = %q
[platform]
store = %q
machines = %q
min_lease = "1000ms"
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
[limits]
memory_mb = 284
cores = 0.4
link_mbps = 1000.0
[bounds]
max_hold = "10000ms"
stop_time = "400ms"
keep_ended = "120s"
holder_time = "3000ms"
stop_grace = "6s"
`, id, 'a'+len(r.daemons)%3, d.callers, freeAddress(), freeAddress(), p.listener.Addr(), machines)
	path := filepath.Join(r.dir, id+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons[id] = d
	return r.run(d)
}

// run starts the process of a daemon. r.mu must be held.
func (r *rig) run(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(r.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/tamarindd", "queue", "--settings", filepath.Join(r.dir, d.id+".toml"))
	d.cmd.Stdout, d.cmd.Stderr = log, log
	return d.cmd.Start()
}

// restart starts a killed daemon again, as the platform does after a short delay.
func (r *rig) restart(id string) {
	d := r.daemons[id]
	_ = d.cmd.Wait() // it was killed
	time.Sleep(restartDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if err := r.run(d); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer l.Close()
	return l.Addr().String()
}

// signal sends a signal to a daemon's process.
func (r *rig) signal(id string, s syscall.Signal) {
	r.logf("signal %v to %s", s, id)
	_ = r.daemons[id].cmd.Process.Signal(s) // it may have ended
}

// close ends all processes and servers.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, d := range r.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
		_ = d.cmd.Wait()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.dir)) // only for reading afterwards
	}
	_ = os.RemoveAll(r.dir)
	for _, p := range r.proxies {
		p.close()
	}
	for _, s := range r.servers {
		s.CloseClientConnections()
	}
	_ = r.out.Close()
}

// logf adds a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// call sends a caller's request to a daemon. The status is 0 if there was no answer.
func (r *rig) call(daemon, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+r.daemons[daemon].callers+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Tamarindworks-Deadline-Ms", "3000")
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		r.logf("caller: %s %s at %s -> no answer", method, path, daemon)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	r.logf("caller: %s %s at %s -> %d %s", method, path, daemon, resp.StatusCode, text)
	return resp.StatusCode, string(text)
}

// submit submits work and retries until it is accepted.
func (r *rig) submit(daemon, id string, steps []tw.Step) bool {
	r.fleet.RegisterSubmission(&tw.Submission{ID: tw.SubmissionID(id), Steps: steps, Policy: tw.RoutePolicy{Attempts: 3}}, nil)
	var rows []map[string]any
	for _, step := range steps {
		row := map[string]any{"count": step.Count, "cpu": step.Need.CPU, "estimatedMs": step.Estimate.Milliseconds()}
		if len(step.After) > 0 {
			row["dependsOn"] = step.After
		}
		if step.LongRunning {
			row["longRunning"] = true
		}
		rows = append(rows, row)
	}
	body, err := json.Marshal(map[string]any{"spec": "x", "steps": rows})
	if err != nil {
		return false
	}
	return r.await(15*time.Second, func() bool {
		status, _ := r.call(daemon, "POST", prefix+id, string(body))
		return status == http.StatusOK
	})
}

// owner returns the daemon that owns the pool, or an empty ID if there is none.
func (r *rig) owner() string {
	item, err := r.kv.Get(context.Background(), "tw/member/owner/"+pool)
	if err != nil {
		return ""
	}
	var o struct{ Daemon string }
	_ = json.Unmarshal(item.Value, &o) // an unreadable record has no owner
	return o.Daemon
}

// others returns the daemons but one.
func (r *rig) others(id string) []string {
	var out []string
	for _, other := range []string{"edge-a", "edge-b", "edge-c"} {
		if other != id && r.daemons[other] != nil {
			out = append(out, other)
		}
	}
	return out
}

// await waits until a condition holds.
func (r *rig) await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// startsAfter returns the starts of a submission's subtasks after a time.
func (r *rig) startsAfter(id string, at time.Time) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []start
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, id+".") && s.at.After(at) {
			out = append(out, s)
		}
	}
	return out
}
