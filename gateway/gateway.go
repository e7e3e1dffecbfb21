package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Config configures a gateway.
	Config struct {
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
		Claims  tw.Claims // nil: idempotency keys are only passed on
		Seed    uint64    // of the random numbers

		MaxHeader        tw.Bytes // of a request, request line included
		MaxBody          tw.Bytes // of a request
		MaxBufferedBody  tw.Bytes // larger bodies are streamed and not sent again
		DialTimeout      time.Duration
		IdlePerInstance  int // idle connections kept per instance
		ConnsPerInstance int // maximum connections per instance
	}

	// Gateway serves callers' requests. It implements http.Handler and
	// tw.Dispatcher.
	Gateway struct {
		cfg            Config
		log            *zap.Logger
		transport      *http.Transport
		scheduler      *scheduler
		retries        *retryBudget
		stats          *stats
		view           atomic.Pointer[tw.View]
		stopping       atomic.Bool
		requests       requestTracker
		relaysInFlight atomic.Int64
		relayRotation  atomic.Uint64
	}
)

// Defaults of Config; sizes are in bytes.
const (
	defaultMaxHeader       = 32 << 10
	defaultMaxBody         = 8 << 20
	defaultMaxBufferedBody = 64 << 10
	defaultDialTimeout     = 500 * time.Millisecond
	defaultConns           = 8 // for IdlePerInstance and ConnsPerInstance
	// maxRelays limits the requests relayed to other daemons at a time.
	maxRelays = 512
)

var (
	_ http.Handler  = (*Gateway)(nil)
	_ tw.Dispatcher = (*Gateway)(nil)
)

// New returns a gateway without a view. It refuses all requests until Install.
func (c Config) New() *Gateway {
	c.defaults()
	g := &Gateway{
		cfg:       c,
		log:       c.Log.Named("gateway"),
		transport: newTransport(c),
		retries:   newRetryBudget(),
		stats:     newStats(c.Metrics),
	}
	g.scheduler = newScheduler(c)
	return g
}

func (c *Config) defaults() {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = defaultMaxHeader
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.MaxBufferedBody == 0 {
		c.MaxBufferedBody = defaultMaxBufferedBody
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdlePerInstance == 0 {
		c.IdlePerInstance = defaultConns
	}
	if c.ConnsPerInstance == 0 {
		c.ConnsPerInstance = defaultConns
	}
}

// Install implements tw.Dispatcher.
func (g *Gateway) Install(view tw.View) {
	g.view.Store(&view)
	g.scheduler.install(view)
}

// Loads implements tw.Dispatcher.
func (g *Gateway) Loads() []tw.Load { return g.scheduler.loads() }

// Jobs implements tw.Dispatcher.
func (g *Gateway) Jobs() []tw.JobID { return g.scheduler.servableJobs() }

// Demand implements tw.Dispatcher.
func (g *Gateway) Demand() int { return g.scheduler.demand() }

// Stop refuses new requests and waits until those in flight have ended or ctx
// is done.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	select {
	case <-g.requests.whenIdle():
		g.transport.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.requests.begin()
	defer g.requests.end()
	start := g.cfg.Clock.Now()
	if len(r.TransferEncoding) > 0 {
		// RFC 9112, section 6.1, requires the connection to be closed after a
		// request with both Content-Length and Transfer-Encoding. net/http
		// hides the Content-Length, so every chunked request closes its
		// connection: a request smuggled behind it is never read.
		w.Header().Set("Connection", "close")
	}
	ex, refusal := g.newExchange(r)
	if refusal == nil && g.stopping.Load() {
		refusal = notRunRetryAfter(ReasonStopping, retryAfterRestart, "this daemon is stopping")
	}
	if refusal == nil {
		ex.body, refusal = g.readPayload(w, r)
	}
	if refusal == nil {
		refusal = g.serve(w, ex)
	}
	if refusal != nil {
		g.refuse(w, ex, refusal)
	}
	g.stats.requestEnded(ex, refusal, g.cfg.Clock.Now().Sub(start))
}

func (g *Gateway) refuse(w http.ResponseWriter, ex *exchange, refusal *Refusal) {
	g.log.Debug("refused", zap.String("request", ex.id), zap.String("reason", string(refusal.Reason)),
		zap.String("outcome", string(refusal.Outcome)), zap.String("job", string(ex.job)))
	if refusal.Reason == ReasonCallerGone {
		return
	}
	refusal.write(w, ex.id)
}

// serve handles a request. It returns nil if a response was forwarded to the
// caller, otherwise the refusal to send.
func (g *Gateway) serve(w http.ResponseWriter, ex *exchange) *Refusal {
	ctx, cancel := context.WithTimeout(ex.in.Context(), ex.timeout)
	defer cancel()
	g.retries.deposit()
	if !g.scheduler.hasSlots(ex.job) {
		return g.relay(ctx, w, ex)
	}
	if ex.key != "" && !ex.repeatable && g.cfg.Claims != nil {
		return g.serveClaimed(ctx, w, ex)
	}
	return g.serveLocally(ctx, w, ex)
}

// serveLocally sends the request to an instance of this hall, and retries it on
// others.
func (g *Gateway) serveLocally(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	deadline, _ := ctx.Deadline()
	var last *Refusal
	for {
		slot, refusal := g.scheduler.acquire(ctx, slotRequest{
			job:      ex.job,
			class:    ex.class,
			team:     ex.team,
			deadline: deadline,
			tried:    ex.tried,
		})
		if refusal != nil {
			return earlierRefusal(last, refusal)
		}
		ex.tried = withInstance(ex.tried, slot.instance.id)
		d := g.tryInstance(ctx, w, ex, slot)
		if d.refusal == nil && d.retry == "" {
			return nil
		}
		last = d.refusal
		if d.retry == "" || !backoff(ctx, g.scheduler) {
			return last
		}
		g.stats.retried(d.retry)
	}
}

// tryInstance makes one attempt at one instance. A result with neither refusal
// nor retry means that the response was forwarded to the caller.
func (g *Gateway) tryInstance(ctx context.Context, w http.ResponseWriter, ex *exchange, slot *grant) decision {
	a := g.send(ctx, ex, target{address: slot.address, grant: slot})
	d := ex.classify(ctx, a)
	mode := releaseOK
	if d.instanceFailed {
		mode = releaseFailed
	}
	defer func() { g.scheduler.release(slot, mode) }()
	if d.retry != "" && !g.mayRetry(ex) {
		d.retry = ""
	}
	if d.refusal == nil && d.retry == "" {
		// The response counts as answered even if the instance set the
		// gateway's own outcome headers.
		a.resp.Header.Set(HeaderOutcome, string(Answered))
		a.resp.Header.Del(HeaderReason)
		d = g.finishResponse(w, ex, a.resp, func() { g.scheduler.release(slot, mode) })
		if d.instanceFailed {
			mode = releaseFailed
		}
		d.abortIfTruncated()
		return d
	}
	if a.resp != nil {
		a.resp.Body.Close()
	}
	if d.refusal == nil {
		d.refusal = &Refusal{Reason: ReasonUpstreamLost, Outcome: Unknown, RetryAfter: retryAfterUpstream}
	}
	return d
}

// mayRetry reports whether another instance may be tried. If so, it takes a
// token from the retry budget.
func (g *Gateway) mayRetry(ex *exchange) bool {
	return len(ex.tried) < maxAttempts && g.scheduler.hasUntried(ex.job, ex.tried) && g.retries.withdraw()
}

// finishResponse forwards a response to the caller. If the response is small
// enough to be buffered, free is called before it is written, so that a slow
// caller does not hold the slot.
func (g *Gateway) finishResponse(w http.ResponseWriter, ex *exchange, resp *http.Response, free func()) decision {
	setWriteDeadline(resp.Request.Context(), w)
	switch forwardResponse(w, resp, free) {
	case forwardNothing:
		d := ex.classifyError(resp.Request.Context(), attempt{err: errResponseTruncated, mayHaveSent: true})
		if d.retry != "" && !g.mayRetry(ex) {
			d.retry = ""
		}
		return d
	case forwardTruncated:
		g.stats.responseTruncated()
		return decision{instanceFailed: true, truncated: true}
	}
	return decision{}
}

func (g *Gateway) config() *tw.FleetConfig {
	if view := g.view.Load(); view != nil {
		return view.Config
	}
	return nil
}
