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
		Seed    uint64    // of the random choice

		MaxHeader        tw.Bytes // of a request, its first line included
		MaxBody          tw.Bytes // of a request
		MaxBufferedBody  tw.Bytes // that can be sent again
		DialTimeout      time.Duration
		IdlePerInstance  int // idle connections kept
		ConnsPerInstance int // connections at most
	}

	// Gateway serves callers. It implements http.Handler and tw.Dispatcher.
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

const (
	defaultMaxHeader       = 32 << 10
	defaultMaxBody         = 8 << 20
	defaultMaxBufferedBody = 64 << 10
	defaultDialTimeout     = 500 * time.Millisecond
	defaultConns           = 8
	// maxRelays bounds the requests that other daemons serve for this one.
	maxRelays = 512
)

var (
	_ http.Handler  = (*Gateway)(nil)
	_ tw.Dispatcher = (*Gateway)(nil)
)

// New makes a gateway with an empty view: it refuses everything until Install.
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

// Stop refuses new requests and waits until those in flight have ended, or
// ctx has.
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
		// RFC 9112, section 6.1, asks to close after a request that has both
		// a length and chunks. net/http hides the length, so I close after
		// each chunked one: nothing smuggled behind it is read.
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

// serve brings a request to an end: an answer passed on (nil), or a refusal.
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

// serveLocally gives the request to instances of this hall.
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
		ex.tried = withInstance(ex.tried, slot.worker.id)
		v := g.tryInstance(ctx, w, ex, slot)
		if v.refusal == nil && v.retry == "" {
			return nil
		}
		last = v.refusal
		if v.retry == "" || !backoff(ctx, g.scheduler) {
			return last
		}
		g.stats.retried(v.retry)
	}
}

// tryInstance makes one attempt at one instance. A verdict without refusal and
// retry means that the caller has its answer.
func (g *Gateway) tryInstance(ctx context.Context, w http.ResponseWriter, ex *exchange, slot *grant) decision {
	a := g.send(ctx, ex, target{address: slot.address, grant: slot})
	v := ex.classify(ctx, a)
	mode := releaseOK
	if v.instanceFailed {
		mode = releaseFailed
	}
	defer func() { g.scheduler.release(slot, mode) }()
	if v.retry != "" && !g.mayRetry(ex) {
		v.retry = ""
	}
	if v.refusal == nil && v.retry == "" {
		// An instance's answer is one, whatever it says in our own headers.
		a.resp.Header.Set(HeaderOutcome, string(Answered))
		a.resp.Header.Del(HeaderReason)
		v = g.finishResponse(w, ex, a.resp, func() { g.scheduler.release(slot, mode) })
		if v.instanceFailed {
			mode = releaseFailed
		}
		v.abortIfTruncated()
		return v
	}
	if a.resp != nil {
		a.resp.Body.Close()
	}
	if v.refusal == nil {
		v.refusal = &Refusal{Reason: ReasonUpstreamLost, Outcome: Unknown, RetryAfter: retryAfterUpstream}
	}
	return v
}

// mayRetry takes a retry from the budget, if an instance is left to try.
func (g *Gateway) mayRetry(ex *exchange) bool {
	return len(ex.tried) < maxAttempts && g.scheduler.hasUntried(ex.job, ex.tried) && g.retries.withdraw()
}

// finishResponse passes an answer on; free is called when the upstream has said
// all.
func (g *Gateway) finishResponse(w http.ResponseWriter, ex *exchange, resp *http.Response, free func()) decision {
	setWriteDeadline(resp.Request.Context(), w)
	switch forwardResponse(w, resp, free) {
	case forwardNothing:
		v := ex.classifyError(resp.Request.Context(), attempt{err: errResponseTruncated, mayHaveSent: true})
		if v.retry != "" && !g.mayRetry(ex) {
			v.retry = ""
		}
		return v
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
