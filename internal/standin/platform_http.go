package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

// Paths that only this fake serves.
const (
	PathFaults   = "/standin/faults"   // GET, PUT
	PathRegister = "/standin/register" // POST
	PathPhase    = "/standin/phase"    // POST ?id=&phase=
	PathCalls    = "/standin/calls"    // GET
)

// Handler serves the platform's protocol and the fake's own paths.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathValue, p.getValue)
	mux.HandleFunc("PUT "+platform.PathValue, p.putValue)
	mux.HandleFunc("GET "+platform.PathWatch, p.watch)
	mux.HandleFunc("GET "+platform.PathLease, p.holder)
	mux.HandleFunc("POST "+platform.PathLease, p.acquire)
	mux.HandleFunc("DELETE "+platform.PathLease, p.release)
	mux.HandleFunc("GET "+platform.PathInstances, p.list)
	mux.HandleFunc("GET "+platform.PathTasks, p.listTasks)
	mux.HandleFunc("POST "+platform.PathTasks, p.startTask)
	mux.HandleFunc("DELETE "+platform.PathTasks, p.stopTask)
	mux.HandleFunc("POST "+platform.PathReboot, p.reboot)
	mux.HandleFunc("GET "+PathFaults, p.getFaults)
	mux.HandleFunc("PUT "+PathFaults, p.putFaults)
	mux.HandleFunc("POST "+PathRegister, p.register)
	mux.HandleFunc("POST "+PathPhase, p.phase)
	mux.HandleFunc("GET "+PathCalls, p.getCalls)
	return mux
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	item, err := p.Get(r.Context(), tw.Key(r.FormValue("key")))
	writeResponse(w, platform.ValueMessage{Value: item.Value, Version: item.Version}, err)
}

func (p *Platform) putValue(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		http.Error(w, "bad base", http.StatusBadRequest)
		return
	}
	// The write continues if the client disconnects, which loses only the answer.
	ctx := context.WithoutCancel(r.Context())
	version, err := p.Put(ctx, tw.Key(r.URL.Query().Get("key")), value, tw.Version(base))
	writeResponse(w, platform.ValueMessage{Version: version}, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	seen, _ := strconv.ParseUint(r.FormValue("seen"), 10, 64)
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	item, err := p.Watch(r.Context(), tw.Key(r.FormValue("key")), tw.Version(seen), wait)
	writeResponse(w, platform.ValueMessage{Value: item.Value, Version: item.Version}, err)
}

func (p *Platform) holder(w http.ResponseWriter, r *http.Request) {
	lease, err := p.Holder(r.Context(), tw.Key(r.FormValue("name")))
	writeResponse(w, lease, err)
}

func (p *Platform) acquire(w http.ResponseWriter, r *http.Request) {
	var req tw.LeaseRequest
	if !decodeBody(w, r, &req) {
		return
	}
	lease, err := p.Acquire(context.WithoutCancel(r.Context()), req)
	writeResponse(w, lease, err)
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	var req tw.LeaseRequest
	if !decodeBody(w, r, &req) {
		return
	}
	writeResponse(w, nil, p.Release(context.WithoutCancel(r.Context()), req))
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	seen, _ := strconv.ParseUint(r.FormValue("seen"), 10, 64) // 0 if absent
	snapshot, err := p.List(r.Context(), tw.HallID(r.FormValue("hall")), seen)
	writeResponse(w, snapshot, err)
}

func (p *Platform) listTasks(w http.ResponseWriter, r *http.Request) {
	tasks, err := p.Tasks(r.Context(), tw.HallID(r.FormValue("hall")))
	writeResponse(w, tasks, err)
}

func (p *Platform) startTask(w http.ResponseWriter, r *http.Request) {
	var task tw.Task
	if decodeBody(w, r, &task) {
		writeResponse(w, nil, p.Start(r.Context(), task))
	}
}

func (p *Platform) stopTask(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, nil, p.Stop(r.Context(), tw.TaskID(r.URL.Query().Get("id"))))
}

func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	var m platform.RebootMessage
	if decodeBody(w, r, &m) {
		writeResponse(w, nil, p.Reboot(r.Context(), m.Instance, m.Boots))
	}
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, p.Faults(), nil)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeBody(w, r, &f) {
		p.SetFaults(f)
		writeResponse(w, nil, nil)
	}
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var in tw.Instance
	if decodeBody(w, r, &in) {
		writeResponse(w, p.Register(in), nil)
	}
}

func (p *Platform) phase(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	p.SetPhase(tw.InstanceID(query.Get("id")), tw.InstancePhase(query.Get("phase")))
	writeResponse(w, nil, nil)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, p.Calls(), nil)
}

// writeResponse writes v, or the status code for err. An ambiguous error closes the
// connection without a response.
func writeResponse(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
	case errors.Is(err, tw.ErrAmbiguous):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(statusCode(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func statusCode(err error) int {
	switch {
	case errors.Is(err, tw.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, tw.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, tw.ErrNoChange):
		return http.StatusNotModified
	case errors.Is(err, tw.ErrLeaseHeld):
		return http.StatusLocked
	}
	return http.StatusServiceUnavailable
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
