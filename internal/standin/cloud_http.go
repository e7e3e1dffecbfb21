package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// machineStateNames and machineRefusalNames map states and refusals to the names in
// the platform's protocol.
var (
	machineStateNames = map[tw.MachineState]string{
		tw.MachineUp: "up", tw.MachineMoving: "moving", tw.MachineMaintenance: "upkeep", tw.MachineDown: "down",
	}
	machineRefusalNames = map[tw.MachineRefusalReason]string{
		tw.MachineRefusedFence: "fence", tw.MachineRefusedBusy: "busy", tw.MachineRefusedNotInWave: "wave",
	}
)

// machinePageSize is small so that tests exercise paging.
const machinePageSize = 2

// Handler serves the machines over the platform's published protocol.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.serveList)
	mux.HandleFunc("POST /api/machine-move", func(w http.ResponseWriter, r *http.Request) {
		c.serveChange(w, r, func(by tw.MachineHolder, m changeBody) error {
			return c.Move(r.Context(), by, m.Machine, m.Pool)
		})
	})
	mux.HandleFunc("POST /api/machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		c.serveChange(w, r, func(by tw.MachineHolder, m changeBody) error {
			return c.Maintain(r.Context(), by, m.Machine, m.Wave)
		})
	})
	return mux
}

type changeBody struct {
	Machine tw.InstanceID `json:"machine"`
	Pool    tw.PoolID     `json:"pool"`
	Wave    int64         `json:"wave"`
}

func (c *Cloud) serveList(w http.ResponseWriter, r *http.Request) {
	machines, err := c.List(r.Context())
	if writeError(w, err) {
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	rows := []map[string]any{}
	var next any
	for i := from; i < len(machines); i++ {
		if len(rows) == machinePageSize {
			next = strconv.Itoa(i)
			break
		}
		m := machines[i]
		rows = append(rows, map[string]any{
			"machine": m.ID, "pool": m.Pool, "state": machineStateNames[m.State], "zone": m.Hall, "labels": m.Labels, "id": m.Worker,
			"capacity": capacityBody(m.Capacity),
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "nextToken": next})
}

func (c *Cloud) serveChange(w http.ResponseWriter, r *http.Request, change func(by tw.MachineHolder, m changeBody) error) {
	var body changeBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Tamarindworks-Fencing-Token"), 10, 64)
	by := tw.MachineHolder{Name: r.Header.Get("Tamarindworks-Lease-Holder"), Fence: tw.FencingToken(fence)}
	err := change(by, body)
	var refused *tw.MachineRefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == tw.MachineRefusedUnknown:
		w.WriteHeader(http.StatusBadRequest)
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": machineRefusalNames[refused.Reason]})
	case !writeError(w, err):
		writeJSON(w, http.StatusOK, map[string]any{})
	}
}

func capacityBody(r tw.Resources) map[string]any {
	return map[string]any{"cpu": r.CPU, "memMb": r.MemoryMB, "gpu": r.GPU}
}

// WorkerBody encodes the registration entry that a worker writes to the store.
func WorkerBody(entry tw.WorkerEntry) []byte {
	state := "ready"
	if entry.Draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": entry.Pool, "address": entry.Address, "zone": entry.Hall, "machine": entry.Instance, "version": "v1",
		"slots": 8, "state": state, "capacity": capacityBody(entry.Capacity), "labels": entry.Labels, "sequence": 1,
	})
	if err != nil {
		panic(err) // these values always encode
	}
	return body
}
