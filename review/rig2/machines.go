package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// cloud is the platform's interface to machines. The list comes in one page.
	cloud struct {
		rig *rig

		mu       sync.Mutex
		machines []*machine
		lives    int
	}

	// machine runs one worker at a time.
	machine struct {
		id, pool, hall, state string
		labels                []string
		cpu, mem              int
		worker                *worker // nil unless the machine is up
		fence                 int64
		waves                 map[int64]bool
	}

	changeBody struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
)

// States of machines.
const (
	stateUp     = "up"
	stateDown   = "down"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
)

// moveTime and upkeepTime are the platform's move_s and upkeep_s.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.serveList)
	mux.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) { c.serveChange(w, r, c.move) })
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) { c.serveChange(w, r, c.upkeep) })
	return mux
}

// add adds a machine that runs a worker.
func (c *cloud) add(w *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{
		id: w.machine, pool: w.pool, hall: w.hall, state: stateUp, labels: w.labels, cpu: w.cpu, mem: w.mem, worker: w, waves: map[int64]bool{},
	})
}

// lose takes a machine down for good. Its worker says nothing; its entry goes after three status reports.
func (c *cloud) lose(w *worker) {
	c.mu.Lock()
	for _, m := range c.machines {
		if m.worker == w {
			m.state, m.worker = stateDown, nil
		}
	}
	c.mu.Unlock()
	w.crash()
	time.Sleep(3 * heartbeat)
	c.rig.kv.Remove(tw.Key("servers/" + w.id))
}

// restart starts another worker on the machine of a crashed one, after some seconds. The entry of the
// crashed one goes after three status reports.
func (c *cloud) restart(w *worker) {
	time.AfterFunc(3*heartbeat, func() { c.rig.kv.Remove(tw.Key("servers/" + w.id)) })
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.worker == w })
	if i < 0 {
		return
	}
	c.machines[i].state, c.machines[i].worker = stateDown, nil
	c.lives++
	next := &worker{id: w.id + "-" + strconv.Itoa(c.lives), machine: w.machine, pool: w.pool, hall: w.hall, labels: w.labels, cpu: w.cpu, mem: w.mem}
	time.AfterFunc(crashTime, func() { c.startNext(c.machines[i], next) })
}

// startNext starts the next worker of a machine.
func (c *cloud) startNext(m *machine, next *worker) {
	if err := c.rig.fleet.add(next); err != nil {
		return
	}
	c.mu.Lock()
	m.state, m.pool, m.worker = stateUp, next.pool, next
	c.mu.Unlock()
	c.rig.kv.Put(tw.Key("servers/"+next.id), next.entry())
}

// crashTime is how long a machine is down after its worker has crashed.
const crashTime = 4500 * time.Millisecond

// heartbeat is the platform's heartbeatMs.
const heartbeat = 1500 * time.Millisecond

func (c *cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.hall, "labels": m.labels, "id": id,
			"capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpu": 0},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextToken": nil})
}

func (c *cloud) serveChange(w http.ResponseWriter, r *http.Request, change func(m *machine, body changeBody) (done bool)) {
	var body changeBody
	fence, err := strconv.ParseInt(r.Header.Get("Tamarindworks-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == body.Machine })
	if i < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m, reason := c.machines[i], ""
	switch {
	case fence < m.fence:
		reason = "fence"
	case !change(m, body):
		reason = "busy"
	}
	c.rig.rec.logf("machines: %s %s by %s, fence %d: %q", r.URL.Path, body.Machine, r.Header.Get("Tamarindworks-Lease-Holder"), fence, reason)
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
		return
	}
	m.fence = fence
	_, _ = w.Write([]byte("{}"))
}

func (c *cloud) move(m *machine, body changeBody) bool {
	if m.pool == body.Pool {
		return true
	}
	if m.state != stateUp {
		return false
	}
	c.change(m, stateMoving, body.Pool, moveTime)
	return true
}

func (c *cloud) upkeep(m *machine, body changeBody) bool {
	if m.waves[body.Wave] {
		return true
	}
	if m.state != stateUp {
		return false
	}
	m.waves[body.Wave] = true
	c.change(m, stateUpkeep, m.pool, upkeepTime)
	return true
}

// change ends a machine's worker and starts the next one after a time. The lock is held.
func (c *cloud) change(m *machine, state, pool string, takes time.Duration) {
	old := m.worker
	m.state, m.worker = state, nil
	c.lives++
	next := &worker{id: old.id + "-" + strconv.Itoa(c.lives), machine: m.id, pool: pool, hall: m.hall, labels: m.labels, cpu: m.cpu, mem: m.mem}
	go func() {
		old.crash()
		c.rig.kv.Remove(tw.Key("servers/" + old.id))
		time.Sleep(takes)
		c.startNext(m, next)
	}()
}
