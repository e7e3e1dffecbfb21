package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// The message bodies of the platform's published store protocol. They deliberately
// duplicate those of package platform, so that tests against the fake check that package's
// encoding.
type (
	kvMessage struct {
		Key      tw.Key        `json:"tlsKey"`
		Value    []byte        `json:"value,omitempty"`
		Revision tw.KVRevision `json:"revision"`
		Lease    tw.KVLeaseID  `json:"lease,omitempty"`
		Gone     bool          `json:"gone,omitempty"`
		At       tw.KVRevision `json:"at,omitempty"`
	}

	kvTxnMessage struct {
		Conditions []struct {
			Key      tw.Key        `json:"tlsKey"`
			Revision tw.KVRevision `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   tw.Key       `json:"tlsKey"`
			Value []byte       `json:"value"`
			Lease tw.KVLeaseID `json:"lease"`
		} `json:"put"`
		Removes []tw.Key `json:"remove"`
	}
)

// kvPageSize is the number of items in a page, far below the platform's 500, so that tests
// exercise paging.
const kvPageSize = 3

// Handler serves the store over the platform's published protocol.
func (k *KV) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", k.serveKey)
	mux.HandleFunc("GET /api/kv-range", k.serveRange)
	mux.HandleFunc("GET /api/kv-watch", k.serveWatch)
	mux.HandleFunc("POST /api/kv-txn", k.serveTxn)
	mux.HandleFunc("POST /api/kv-lease", k.serveGrant)
	mux.HandleFunc("POST /api/kv-keep/{id}", k.serveRenew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", k.serveRevoke)
	return mux
}

func (k *KV) serveKey(w http.ResponseWriter, r *http.Request) {
	item, err := k.Get(r.Context(), tw.Key(r.URL.Query().Get("tlsKey")))
	if !writeError(w, err) {
		writeJSON(w, http.StatusOK, messageOf(item))
	}
}

func (k *KV) serveRange(w http.ResponseWriter, r *http.Request) {
	items, at, err := k.Range(r.Context(), tw.Key(r.URL.Query().Get("pathPrefix")))
	if writeError(w, err) {
		return
	}
	after := tw.Key(r.URL.Query().Get("dependsOn"))
	page := []kvMessage{}
	more := false
	for _, item := range items {
		if item.Key <= after {
			continue
		}
		if len(page) == kvPageSize {
			more = true
			break
		}
		page = append(page, messageOf(item))
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "more": more, "at": at})
}

func (k *KV) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("dependsOn"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	events, at, err := k.Watch(r.Context(), tw.Key(query.Get("pathPrefix")), tw.KVRevision(after), time.Duration(wait)*time.Millisecond)
	if writeError(w, err) {
		return
	}
	messages := []kvMessage{}
	for _, e := range events {
		message := messageOf(e.Item)
		message.Gone = e.Removed
		messages = append(messages, message)
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": messages, "at": at})
}

func (k *KV) serveTxn(w http.ResponseWriter, r *http.Request) {
	var message kvTxnMessage
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := tw.KVTxn{Removes: message.Removes}
	for _, c := range message.Conditions {
		txn.Conditions = append(txn.Conditions, tw.KVCondition(c))
	}
	for _, p := range message.Puts {
		txn.Puts = append(txn.Puts, tw.KVPut(p))
	}
	revision, err := k.Commit(r.Context(), txn)
	if !writeError(w, err) {
		writeJSON(w, http.StatusOK, map[string]any{"revision": revision})
	}
}

func (k *KV) serveGrant(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lease, ttl, err := k.Grant(r.Context(), time.Duration(message.TTL)*time.Millisecond)
	if !writeError(w, err) {
		writeJSON(w, http.StatusOK, map[string]any{"lease": lease, "ttl_ms": ttl.Milliseconds()})
	}
}

func (k *KV) serveRenew(w http.ResponseWriter, r *http.Request) {
	if !writeError(w, k.Renew(r.Context(), leaseOf(r))) {
		writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": renewedTTL.Milliseconds()})
	}
}

func (k *KV) serveRevoke(w http.ResponseWriter, r *http.Request) {
	if !writeError(w, k.Revoke(r.Context(), leaseOf(r))) {
		writeJSON(w, http.StatusOK, map[string]any{})
	}
}

func leaseOf(r *http.Request) tw.KVLeaseID {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return tw.KVLeaseID(id)
}

func messageOf(item tw.KVItem) kvMessage {
	return kvMessage{Key: item.Key, Value: item.Value, Revision: item.Revision, Lease: item.Lease}
}

// writeError writes the response for an error and reports whether there was one. An error
// without a status code, such as an ambiguous one, closes the connection without a
// response.
func writeError(w http.ResponseWriter, err error) bool {
	var conflict *tw.KVConflictError
	switch {
	case err == nil:
		return false
	case errors.As(err, &conflict):
		items := []kvMessage{}
		for _, item := range conflict.Items {
			items = append(items, messageOf(item))
		}
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
	case errors.Is(err, tw.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, tw.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, tw.ErrRateLimited):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, tw.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
}
