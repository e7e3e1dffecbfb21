package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarindworks/tamarindworks/gateway"
)

type (
	// Report holds the outcomes of a load.
	Report struct {
		Sent     int
		Answered int
		Refused  map[string]int // by reason
		NotRun   int            // refusals with outcome not-run
		Unknown  int            // refusals with any other outcome
		Cut      int            // no complete response
		Wrong    int            // answers whose request ID or body digest is not the request's
		// Lost counts requests that were answered but that no upstream ran, Doubled
		// non-idempotent requests that ran more than once, and FalseNotRun requests
		// that were refused as not run but ran.
		Lost        int
		Doubled     int
		FalseNotRun int
		Took        time.Duration
		// Worked is the total work of the requests answered from the end of the
		// warm-up until the last request was sent.
		Worked   time.Duration
		answers  map[string]*hdrhistogram.Histogram // by stream
		refusals *hdrhistogram.Histogram
	}

	// Percentiles summarizes a latency distribution.
	Percentiles struct {
		P50 time.Duration `json:"p50"`
		P99 time.Duration `json:"p99"`
		Max time.Duration `json:"max"`
		N   int64         `json:"n"`
	}
)

func newReport() Report {
	return Report{
		Refused:  map[string]int{},
		answers:  map[string]*hdrhistogram.Histogram{},
		refusals: newHistogram(),
	}
}

// Violations counts the outcomes that must never occur.
func (r *Report) Violations() int { return r.Lost + r.Doubled + r.FalseNotRun + r.Wrong }

// Latency returns the latency of a stream's answers.
func (r *Report) Latency(stream string) Percentiles {
	if h := r.answers[stream]; h != nil {
		return percentiles(h)
	}
	return Percentiles{}
}

// Line formats the counts in one line.
func (r *Report) Line() string {
	refused := 0
	for _, n := range r.Refused {
		refused += n
	}
	return fmt.Sprintf("sent=%d answered=%d refused=%d not-run=%d unknown=%d cut=%d wrong=%d false-not-run=%d lost=%d doubled=%d",
		r.Sent, r.Answered, refused, r.NotRun, r.Unknown, r.Cut, r.Wrong, r.FalseNotRun, r.Lost, r.Doubled)
}

// String formats the whole report.
func (r *Report) String() string {
	var out strings.Builder
	for _, stream := range sortedKeys(r.answers) {
		p := r.Latency(stream)
		fmt.Fprintf(&out, "answers %-12s n=%d p50=%v p99=%v max=%v\n", stream, p.N, p.P50, p.P99, p.Max)
	}
	if p := percentiles(r.refusals); p.N > 0 {
		fmt.Fprintf(&out, "refusals             n=%d p50=%v p99=%v max=%v\n", p.N, p.P50, p.P99, p.Max)
	}
	for _, reason := range sortedKeys(r.Refused) {
		fmt.Fprintf(&out, "refused %-22s %d\n", reason, r.Refused[reason])
	}
	out.WriteString(r.Line())
	return out.String()
}

// JSON encodes the report with the latency of each stream.
func (r *Report) JSON() ([]byte, error) {
	type plain Report
	latency := map[string]Percentiles{}
	for stream := range r.answers {
		latency[stream] = r.Latency(stream)
	}
	return json.Marshal(struct {
		plain
		Latency map[string]Percentiles
	}{plain(*r), latency})
}

func (r *Report) addRefusal(resp *http.Response, took time.Duration) {
	r.Refused[resp.Header.Get(gateway.HeaderReason)]++
	if resp.Header.Get(gateway.HeaderOutcome) == string(gateway.NotRun) {
		r.NotRun++
	} else {
		r.Unknown++
	}
	_ = r.refusals.RecordValue(took.Microseconds()) // values out of range are dropped
}

func (r *Report) addAnswer(s Stream, took time.Duration) {
	if r.answers[s.Name] == nil {
		r.answers[s.Name] = newHistogram()
	}
	_ = r.answers[s.Name].RecordValue(took.Microseconds()) // values out of range are dropped
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Percentiles{P50: at(50), P99: at(99), Max: time.Duration(h.Max()) * time.Microsecond, N: h.TotalCount()}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
