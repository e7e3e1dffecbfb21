// Package traffic counts the bytes of HTTP messages by kind, to show what uses the bandwidth
// of a daemon's link.
package traffic

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Meter counts messages. It is safe for concurrent use; a nil Meter counts nothing.
	Meter struct {
		set *metrics.Set

		mu    sync.Mutex
		kinds map[string]*kindCounters
	}

	// Count is the traffic of one kind of message, headers included.
	Count struct {
		Sent, Received tw.Bytes
		Messages       int64
	}

	// kindCounters counts one kind of message.
	kindCounters struct{ sent, received, messages atomic.Int64 }

	transport struct {
		meter *Meter
		next  http.RoundTripper
	}

	// countedBody counts the bytes read from a body.
	countedBody struct {
		io.ReadCloser
		count *atomic.Int64
	}

	// countedWriter counts the bytes written to a response.
	countedWriter struct {
		http.ResponseWriter
		count *atomic.Int64
	}
)

const (
	// requestLineOverhead is the approximate size of a request line without its path, and
	// responseHeadSize that of a response's status line and header, in bytes.
	requestLineOverhead = 17
	responseHeadSize    = 100
	// headerOverhead is the size of the separators of a header line, in bytes.
	headerOverhead = 4
	// apiPrefix is the prefix of the paths of the platform's calls; an id may follow the call.
	apiPrefix = "/api/"
	// callersKind is the kind of callers' messages.
	callersKind = "callers"
)

// New returns a meter that also exports its counts as metrics of a set.
func New(set *metrics.Set) *Meter { return &Meter{set: set, kinds: map[string]*kindCounters{}} }

// Transport wraps a transport to count its messages.
func (m *Meter) Transport(next http.RoundTripper) http.RoundTripper {
	if m == nil {
		return next
	}
	return &transport{meter: m, next: next}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	k := t.meter.counters(r.URL.Path)
	k.messages.Add(1)
	k.sent.Add(requestBytes(r))
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	k.received.Add(responseHeadSize)
	resp.Body = &countedBody{ReadCloser: resp.Body, count: &k.received}
	return resp, nil
}

// CloseIdleConnections is used by http.Client; it calls the wrapped transport's.
func (t *transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// Handler wraps a handler to count its requests and responses.
func (m *Meter) Handler(next http.Handler) http.Handler {
	if m == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k := m.counters(r.URL.Path)
		k.messages.Add(1)
		k.received.Add(requestBytes(r))
		k.sent.Add(responseHeadSize)
		next.ServeHTTP(&countedWriter{ResponseWriter: w, count: &k.sent}, r)
	})
}

// Totals returns the counts since the meter was created, by kind.
func (m *Meter) Totals() map[string]Count {
	out := map[string]Count{}
	if m == nil {
		return out
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, k := range m.kinds {
		out[name] = Count{Sent: tw.Bytes(k.sent.Load()), Received: tw.Bytes(k.received.Load()), Messages: k.messages.Load()}
	}
	return out
}

func (m *Meter) counters(path string) *kindCounters {
	name := kindOf(path)
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kinds[name]
	if k == nil {
		k = &kindCounters{}
		m.kinds[name] = k
		m.set.GetOrCreateGauge(`tamarind_sent_bytes_total{kind="`+name+`"}`, func() float64 { return float64(k.sent.Load()) })
		m.set.GetOrCreateGauge(`tamarind_received_bytes_total{kind="`+name+`"}`, func() float64 { return float64(k.received.Load()) })
	}
	return k
}

// kindOf returns the kind of a message by its path: the platform's call, the procedure of a
// peer, or one kind for all callers' messages, as the number of their paths is unbounded.
func kindOf(path string) string {
	if call, found := strings.CutPrefix(path, apiPrefix); found {
		name, _, _ := strings.Cut(call, "/")
		return name
	}
	if i := strings.LastIndexByte(path, '/'); i > 0 && strings.Contains(path[:i], ".") {
		return "peer-" + strings.ToLower(path[i+1:])
	}
	return callersKind
}

// requestBytes estimates the size of a request on the wire.
func requestBytes(r *http.Request) int64 {
	n := int64(requestLineOverhead + len(r.URL.Path) + len(r.URL.RawQuery) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			n += int64(len(name) + len(value) + headerOverhead)
		}
	}
	return n + max(0, r.ContentLength)
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.count.Add(int64(n))
	return n, err
}

// Flush implements http.Flusher, which handlers of streams need.
func (w *countedWriter) Flush() {
	// A writer that can't flush sends everything at the end.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
