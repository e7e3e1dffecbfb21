package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/tamarindworks/tamarindworks/control"
)

// Paths of the admin port.
const (
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathStatus  = "/status"
)

// adminHandler returns the handler of the admin port.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET "+PathReady, d.ready)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.node.Status()) // the client may be gone
	})
	return mux
}

// ready is the load balancer's readiness check.
func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	status := d.node.Status()
	switch {
	case d.stopping.Load():
		writeLine(w, http.StatusServiceUnavailable, "stopping")
	case status.Revision == 0:
		writeLine(w, http.StatusServiceUnavailable, "no configuration yet")
	case !status.Registered && !hasRelayPeer(status):
		writeLine(w, http.StatusServiceUnavailable, "not registered, and no peer to relay to")
	default:
		writeLine(w, http.StatusOK, "ready")
	}
}

// hasRelayPeer reports whether a peer could serve requests for this daemon.
func hasRelayPeer(s control.Status) bool {
	for _, m := range s.Members {
		if m.ID != s.Self && len(m.Jobs) > 0 {
			return true
		}
	}
	return false
}

func writeLine(w http.ResponseWriter, status int, line string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(line + "\n")) // the client may be gone
}
