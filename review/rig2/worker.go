package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// fleet holds the workers. One lock guards all of them, as the members of a gang run on several.
	fleet struct {
		rec *recorder
		// maxHold, stopTime and gangWait are the platform's maxHoldMs, stop_ms and gang_ms.
		maxHold, stopTime, gangWait time.Duration

		// onSilent is called when a worker has crashed silently.
		onSilent func(w *worker)

		mu      sync.Mutex
		jobs    map[string]jobSpec
		workers []*worker
		// starts lists all starts in order, ends all ends.
		starts []startEvent
		ends   []endEvent
	}

	// worker is one life of a worker. It starts whatever it is told and does not guard its capacity.
	worker struct {
		fleet    *fleet
		id       string
		machine  string
		pool     string
		hall     string
		address  string
		labels   []string
		cpu, mem int

		server  *http.Server
		startAt time.Time
		dead    bool
		// dark means that it was dead without a reset of its connections.
		dark     bool
		fence    int64
		deadline time.Time
		runs     map[string]*workRun
		ended    []endRow
		sequence int64
		closed   map[string]int64
	}

	workRun struct {
		task    string
		run     int64
		started time.Time
		step    stepSpec
		stopAt  time.Time
	}

	endRow struct {
		sequence int64
		task     string
		run      int64
		how      string
	}

	startEvent struct {
		at     time.Time
		worker string
		task   string
		run    int64
		spec   string
	}

	endEvent struct {
		at     time.Time
		worker string
		task   string
		run    int64
		how    string
	}

	orderBody struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadlineMs"`
		Fence      int64  `json:"fencingToken"`
		LastSeen   int64  `json:"lastSeen"`
		WaitMs     int64  `json:"waitMs"`
	}
)

const (
	// clockStart is the reading of a worker's clock at its start, in milliseconds.
	clockStart = 1000
	// tick is the interval at which runs are looked at.
	tick = 5 * time.Millisecond
)

func newFleet(rec *recorder) *fleet {
	return &fleet{rec: rec, maxHold: 10 * time.Second, stopTime: 400 * time.Millisecond, gangWait: 3 * time.Second, jobs: map[string]jobSpec{}}
}

// add starts a worker that listens on a loopback address of its own.
func (f *fleet) add(w *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.fleet, w.address, w.startAt = f, listener.Addr().String(), time.Now()
	w.runs, w.closed = map[string]*workRun{}, map[string]int64{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(w.start))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /api/hold", w.serve(w.hold))
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

// crash ends a worker: all that runs there is gone, and its address refuses connections.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	w.dead = true
	w.runs = map[string]*workRun{}
	w.fleet.mu.Unlock()
	_ = w.server.Close()
	w.fleet.rec.logf("worker %s crashed", w.id)
}

// silent ends a worker without a word: all that runs there is gone, and nothing is answered, neither on
// open connections nor on new ones. Its machine starts another one later. The lock is held.
func (w *worker) silent() {
	w.dead, w.dark = true, true
	w.runs = map[string]*workRun{}
	w.fleet.rec.logf("worker %s crashed, silent", w.id)
	if w.fleet.onSilent != nil {
		go w.fleet.onSilent(w)
	}
}

// entry is what the worker writes of itself into the store.
func (w *worker) entry() []byte {
	out, _ := json.Marshal(map[string]any{
		"service": w.pool, "address": w.address, "zone": w.hall, "machine": w.machine, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": w.labels, "sequence": 1,
	})
	return out
}

// run advances all workers until stop is closed.
func (f *fleet) run(stop <-chan struct{}) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}
}

func (f *fleet) advance(now time.Time) {
	for _, w := range f.workers {
		if w.dead {
			continue
		}
		lapsed := !w.deadline.IsZero() && now.After(w.deadline)
		for _, r := range w.sortedRuns() {
			switch {
			case lapsed:
				w.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(r, "stopped")
			case r.step.Gang:
				f.advanceGang(w, r, now)
			case !r.step.LongRunning && now.Sub(r.started) >= r.step.work:
				w.end(r, "done")
			}
		}
	}
}

// advanceGang ends a member of a gang: done once all members have worked together for long enough, alone
// if not all of them have come in time.
func (f *fleet) advanceGang(w *worker, r *workRun, now time.Time) {
	members, complete := f.gangOf(r)
	switch {
	case len(members) < r.step.Count && now.Sub(r.started) >= f.gangWait:
		w.end(r, "alone")
	case !r.step.LongRunning && len(members) == r.step.Count && now.Sub(complete) >= r.step.work:
		for _, other := range f.workers {
			for _, member := range other.sortedRuns() {
				if slices.Contains(members, member) {
					other.end(member, "done")
				}
			}
		}
	}
}

// gangOf returns the members of a run's gang that are there, and when the last of them came.
func (f *fleet) gangOf(r *workRun) (members []*workRun, last time.Time) {
	for _, w := range f.workers {
		for _, other := range w.runs {
			if other.run == r.run && stepName(other.task) == stepName(r.task) && other.stopAt.IsZero() {
				members = append(members, other)
				if other.started.After(last) {
					last = other.started
				}
			}
		}
	}
	return members, last
}

func (w *worker) sortedRuns() []*workRun {
	out := make([]*workRun, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *workRun) int { return strings.Compare(a.task, b.task) })
	return out
}

func (w *worker) end(r *workRun, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.closed[r.task] = max(w.closed[r.task], r.run)
	w.sequence++
	w.ended = append(w.ended, endRow{sequence: w.sequence, task: r.task, run: r.run, how: how})
	w.fleet.ends = append(w.fleet.ends, endEvent{at: time.Now(), worker: w.id, task: r.task, run: r.run, how: how})
	w.fleet.rec.logf("worker %s: %s run %d ended %s", w.id, r.task, r.run, how)
	if r.step.Gang && how != "done" {
		members, _ := w.fleet.gangOf(r)
		for _, other := range w.fleet.workers {
			for _, member := range other.sortedRuns() {
				if slices.Contains(members, member) && how != "alone" {
					other.end(member, "broken")
				}
			}
		}
	}
}

func (w *worker) clock(now time.Time) int64 { return clockStart + now.Sub(w.startAt).Milliseconds() }

// serve decodes an order and checks which life it is meant for, and its fence.
func (w *worker) serve(handle func(rw http.ResponseWriter, r *http.Request, order orderBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Tamarindworks-Expect-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var order orderBody
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		handle(rw, r, order)
	}
}

// admit checks the fence of an order and takes over its deadline. The lock is held.
func (w *worker) admit(order orderBody) (refusal string) {
	now := time.Now()
	if order.Fence < w.fence {
		return "fence"
	}
	w.fence = order.Fence
	if order.DeadlineMs == 0 {
		return ""
	}
	until := w.startAt.Add(time.Duration(order.DeadlineMs-clockStart) * time.Millisecond)
	if until.Before(now) {
		return "late"
	}
	if latest := now.Add(w.fleet.maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.deadline) {
		w.deadline = until
	}
	return ""
}

// hang leaves an order to a dead worker without an answer. Unless the worker went silent, the connection is
// reset. The lock is held.
func (w *worker) hang(r *http.Request) {
	if w.dark {
		w.fleet.mu.Unlock()
		<-r.Context().Done()
		w.fleet.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request, order orderBody) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dead {
		w.hang(r)
	}
	if refusal := w.admit(order); refusal != "" {
		w.answer(rw, http.StatusConflict, refusal)
		return
	}
	if known := w.runs[order.Task]; known != nil && known.run == order.Run {
		w.answer(rw, http.StatusOK, "")
		return
	}
	if order.Run <= w.closed[order.Task] || w.runs[order.Task] != nil {
		w.answer(rw, http.StatusConflict, "old")
		return
	}
	step, known := f.stepOf(order.Task)
	if !known {
		f.rec.logf("worker %s: start of unknown %s", w.id, order.Task)
	}
	w.runs[order.Task] = &workRun{task: order.Task, run: order.Run, started: time.Now(), step: step}
	f.starts = append(f.starts, startEvent{at: time.Now(), worker: w.id, task: order.Task, run: order.Run, spec: order.Spec})
	f.rec.logf("worker %s: %s run %d started, fence %d", w.id, order.Task, order.Run, order.Fence)
	if step.deadly && strings.HasSuffix(order.Task, ".0") {
		w.silent()
		w.hang(r)
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request, order orderBody) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.dead {
		w.hang(r)
	}
	if refusal := w.admit(order); refusal != "" {
		w.answer(rw, http.StatusConflict, refusal)
		return
	}
	w.fleet.rec.logf("worker %s: %s run %d told to stop", w.id, order.Task, order.Run)
	if run := w.runs[order.Task]; run != nil && run.run <= order.Run {
		if run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(w.fleet.stopTime / 2)
		}
	} else {
		w.closed[order.Task] = max(w.closed[order.Task], order.Run)
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, order orderBody) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dead {
		w.hang(r)
	}
	if refusal := w.admit(order); refusal != "" && refusal != "late" {
		w.answer(rw, http.StatusConflict, refusal)
		return
	}
	w.ended = slices.DeleteFunc(w.ended, func(e endRow) bool { return e.sequence <= order.LastSeen })
	until := time.Now().Add(time.Duration(min(order.WaitMs, 2000)) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) && !w.dead && r.Context().Err() == nil {
		f.mu.Unlock()
		time.Sleep(tick)
		f.mu.Lock()
	}
	if w.dead {
		w.hang(r)
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range w.sortedRuns() {
		running = append(running, []any{run.task, run.run, "", w.percent(run)})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clock(time.Now()), "running": running, "ended": ended})
}

func (w *worker) percent(r *workRun) int {
	switch {
	case r.step.LongRunning:
		return 100
	case r.step.Gang:
		members, last := w.fleet.gangOf(r)
		if len(members) < r.step.Count {
			return 0
		}
		return int(min(99, 100*time.Since(last)/max(r.step.work, 1)))
	}
	return int(min(99, 100*time.Since(r.started)/max(r.step.work, 1)))
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	body := map[string]any{"clockMs": w.clock(time.Now())}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(rw).Encode(body)
}

// stepOf returns the step of a subtask, named ID.K.STEP.INDEX.
func (f *fleet) stepOf(task string) (stepSpec, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return stepSpec{}, false
	}
	job, known := f.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if !known || err != nil || step >= len(job.Steps) {
		return stepSpec{}, false
	}
	return job.Steps[step], true
}

// stepName is the name of a subtask without its index.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// startsOf returns the starts of subtasks whose name begins with a prefix.
func (f *fleet) startsOf(prefix string) []startEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.starts), func(s startEvent) bool { return !strings.HasPrefix(s.task, prefix) })
}

// endsOf returns the ends of subtasks whose name begins with a prefix.
func (f *fleet) endsOf(prefix string) []endEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.ends), func(e endEvent) bool { return !strings.HasPrefix(e.task, prefix) })
}

// usedCPU returns what runs on the live workers of a pool, and what they have.
func (f *fleet) usedCPU(pool string) (used, capacity int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.dead || w.pool != pool {
			continue
		}
		capacity += w.cpu
		for _, r := range w.runs {
			used += r.step.CPU
		}
	}
	return used, capacity
}

func workerName(n int) string { return fmt.Sprintf("i-%04d", n) }
