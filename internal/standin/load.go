package standin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/gateway"
)

type (
	// LoadConfig configures a load of a fixed number of requests.
	LoadConfig struct {
		Targets  []string // gateway addresses, used in turn in place of a load balancer
		Streams  []Stream
		Requests int // in total
		// Warmup is the number of warm-up requests, which are sent first. Their latency is
		// not recorded. Work that is answered before they have all been sent is not counted.
		Warmup  int
		Rate    float64 // requests per second, open loop
		Timeout time.Duration
		// CollectRuns returns the runs that the upstreams recorded. It is called after the
		// load has ended.
		CollectRuns func() (Runs, error)
		// Job is set for a load sent directly to an upstream.
		Job tw.JobID
		// Repeat is how many more times each request is sent with the same ID, and
		// with the same key if it has one, each time to the next target.
		Repeat int
	}

	// Stream is one kind of request in the load.
	Stream struct {
		Name   string
		Method string
		Host   string
		Path   string
		Class  tw.Class
		Team   tw.TeamID
		Work   time.Duration
		Keyed  bool // sends an Idempotency-Key
		Share  int  // weight in the mix
	}

	// loadRun is a load in progress.
	loadRun struct {
		LoadConfig
		client     *http.Client
		nextTarget atomic.Uint64
		// measuring is true from the end of the warm-up until the last request is sent.
		measuring atomic.Bool

		mu       sync.Mutex
		report   Report
		outcomes map[string]callerOutcome
	}

	// callerOutcome summarizes the responses to one request and its repeats.
	callerOutcome struct {
		answered      bool
		notRun        bool // each attempt was either not sent or refused as not run
		keyed         bool
		nonIdempotent bool // POST, must not run twice
	}
)

// errIncompleteLoad reports a LoadConfig without targets, streams or a rate.
var errIncompleteLoad = errors.New("standin: load needs targets, streams and a rate")

// Run sends the load and reports its outcomes.
func (c LoadConfig) Run(ctx context.Context) (Report, error) {
	if len(c.Targets) == 0 || len(c.Streams) == 0 || c.Rate <= 0 {
		return Report{}, errIncompleteLoad
	}
	l := &loadRun{
		LoadConfig: c,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}, Timeout: c.Timeout},
		report:     newReport(),
		outcomes:   map[string]callerOutcome{},
	}
	start := time.Now()
	l.sendAll(ctx, start)
	l.report.Took = time.Since(start)
	l.client.CloseIdleConnections()
	runs, err := c.CollectRuns()
	if err != nil {
		return Report{}, err
	}
	l.reconcile(runs)
	return l.report, nil
}

// sendAll sends the requests at the configured rate without waiting for responses, and
// returns when all have ended.
func (l *loadRun) sendAll(ctx context.Context, start time.Time) {
	var sent sync.WaitGroup
	defer sent.Wait()
	defer l.measuring.Store(false)
	mix := l.mix()
	for i := range l.Requests {
		due := start.Add(time.Duration(float64(i) / l.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		if i == l.Warmup {
			l.measuring.Store(true)
		}
		stream := mix[i%len(mix)]
		sent.Go(func() { l.sendOne(ctx, stream, i >= l.Warmup) })
	}
}

// mix repeats each stream according to its share.
func (l *loadRun) mix() []Stream {
	var out []Stream
	for _, s := range l.Streams {
		for range max(1, s.Share) {
			out = append(out, s)
		}
	}
	return out
}

// sendOne sends a request and its repeats with the same ID.
func (l *loadRun) sendOne(ctx context.Context, s Stream, timed bool) {
	id := rand.Text()
	outcome := callerOutcome{notRun: true, keyed: s.Keyed, nonIdempotent: s.Method == http.MethodPost}
	for range 1 + l.Repeat {
		l.exchange(ctx, s, id, &outcome, timed)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[id] = outcome
}

func (l *loadRun) exchange(ctx context.Context, s Stream, id string, outcome *callerOutcome, timed bool) {
	payload := "body of " + id
	start := time.Now()
	resp, body, err := l.do(ctx, s, id, payload)
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Sent++
	switch {
	case errors.Is(err, errNotSent):
		l.report.Refused["entry-unreachable"]++
	case err != nil:
		l.report.Cut++
		outcome.notRun = false
	case resp.Header.Get(gateway.HeaderReason) != "":
		l.report.addRefusal(resp, took)
		outcome.notRun = outcome.notRun && resp.Header.Get(gateway.HeaderOutcome) == string(gateway.NotRun)
	default:
		outcome.notRun, outcome.answered = false, true
		l.report.Answered++
		if timed {
			l.report.addAnswer(s, took)
		}
		if l.measuring.Load() {
			l.report.Worked += s.Work
		}
		if !matches(body, id, payload) {
			l.report.Wrong++
		}
	}
}

// errNotSent reports that every target refused the connection.
var errNotSent = errors.New("standin: no target accepted the connection")

// do sends a request to the next target, and to another one if the connection is refused,
// as a load balancer does.
func (l *loadRun) do(ctx context.Context, s Stream, id, payload string) (*http.Response, []byte, error) {
	for range l.Targets {
		target := l.Targets[l.nextTarget.Add(1)%uint64(len(l.Targets))]
		req, err := l.request(ctx, s, target, id, payload)
		if err != nil {
			return nil, nil, err
		}
		resp, err := l.client.Do(req)
		if err != nil && strings.Contains(err.Error(), "connect: connection refused") {
			continue
		}
		if err != nil {
			return nil, nil, err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
	return nil, nil, errNotSent
}

func (l *loadRun) request(ctx context.Context, s Stream, target, id, payload string) (*http.Request, error) {
	// Hide the *strings.Reader, for which net/http would set GetBody and might retry the
	// request.
	body := io.NopCloser(io.MultiReader(strings.NewReader(payload)))
	req, err := http.NewRequestWithContext(ctx, s.Method, fmt.Sprintf("http://%s%s", target, s.Path), body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(payload))
	req.Host = s.Host
	req.Header.Set(gateway.HeaderRequest, id)
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(gateway.HeaderTeam, string(s.Team))
	set(gateway.HeaderJob, string(l.Job))
	set(gateway.HeaderClass, string(s.Class))
	if s.Keyed {
		req.Header.Set(gateway.HeaderKey, id)
	}
	if s.Work > 0 {
		req.Header.Set(HeaderWork, s.Work.String())
	}
	return req, nil
}

// reconcile compares the responses that callers got with the runs that upstreams recorded.
func (l *loadRun) reconcile(runs Runs) {
	for id, outcome := range l.outcomes {
		n := runs[id]
		switch {
		case outcome.answered && n == 0:
			l.report.Lost++
		case outcome.notRun && n > 0:
			l.report.FalseNotRun++
		}
		if n > 1 && outcome.nonIdempotent {
			l.report.Doubled++
		}
	}
}

func matches(body []byte, id, payload string) bool {
	var answer UpstreamAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return false
	}
	sum := sha256.Sum256([]byte(payload))
	return answer.Request == id && answer.Digest == hex.EncodeToString(sum[:])
}

// newHistogram returns a histogram of latencies from 1 microsecond to 10 minutes.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
}
