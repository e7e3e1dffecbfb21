package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// ResenderConfig configures a Resender.
	ResenderConfig struct {
		KV      tw.KV
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
	}

	// Resender is a tw.KV that sends a call again while it is unanswered, on another connection:
	// conditional transactions, renewals of leases, and reads of one key. A connection whose answer
	// was lost stays silent, and an owner's next write must wait for the answer: waiting for the
	// timeout of the call would take a second each time.
	//
	// At most one copy of a transaction is applied if its conditions do not hold any more
	// afterwards, as those of all conditional transactions of this system. As after any
	// unanswered call, a conflict may mean that an earlier copy was applied. Transactions without
	// conditions are sent once.
	Resender struct {
		tw.KV
		clock  tw.Clock
		log    *zap.Logger
		resent *metrics.Counter

		mu sync.Mutex
		// usualTime is the longest time to an answer, decreasing with each shorter one.
		usualTime time.Duration
		// waiting counts the calls without an answer. silentSince is since when there have been
		// such calls and none was answered.
		waiting     int
		silentSince time.Time
	}

	// reconnecter is a tw.KV whose further calls can be made to use new connections.
	reconnecter interface{ Reconnect() }

	// answer is the result of one copy of a call.
	answer[T any] struct {
		value T
		err   error
		took  time.Duration
	}
)

const (
	// minResendInterval is above the 4 ms that the store usually takes, also for a daemon that
	// is short of processor time. maxFirstInterval is the time after which calls usually fail.
	minResendInterval = 40 * time.Millisecond
	maxFirstInterval  = time.Second
	// steadyCopies is the number of copies after which the interval grows: a store that loses
	// some writes has usually answered one of these. maxResendInterval keeps the time between
	// the end of an outage and the next write short.
	steadyCopies      = 4
	maxResendInterval = 300 * time.Millisecond
	// usualTimeFactor times the usual time to an answer, a call is sent again.
	usualTimeFactor = 3
	// slowLinkRate is the bandwidth in bytes per second of the slowest links. A large
	// message is given that much longer.
	slowLinkRate = 250e3
	// usualTimeDecay: each shorter answer reduces the usual time by this fraction of it.
	usualTimeDecay = 8
	// silentCopies is the number of unanswered copies from which new connections are used: a
	// client may keep several that went silent at once, and each would take a copy.
	silentCopies = 2
	// maxCopies bounds the unanswered copies of a call.
	maxCopies = 8
	// loggedCopies is the number of copies from which an answer is logged.
	loggedCopies = 3
)

// New returns a Resender.
func (c ResenderConfig) New() *Resender {
	return &Resender{KV: c.KV, clock: c.Clock, log: c.Log, resent: c.Metrics.GetOrCreateCounter("tamarind_store_calls_resent_total")}
}

// Silence returns how long calls have been waiting and none was answered; zero if none waits.
func (r *Resender) Silence() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == 0 {
		return 0
	}
	return r.clock.Now().Sub(r.silentSince)
}

// Get implements tw.KV.
func (r *Resender) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	return resend(ctx, r, 0, func(ctx context.Context) (tw.KVItem, error) { return r.KV.Get(ctx, key) })
}

// Commit implements tw.KV.
func (r *Resender) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if len(txn.Conditions) == 0 {
		return r.KV.Commit(ctx, txn)
	}
	size := 0
	for _, put := range txn.Puts {
		size += len(put.Value)
	}
	return resend(ctx, r, size, func(ctx context.Context) (tw.KVRevision, error) { return r.KV.Commit(ctx, txn) })
}

// Renew implements tw.KV.
func (r *Resender) Renew(ctx context.Context, lease tw.KVLeaseID) error {
	_, err := resend(ctx, r, 0, func(ctx context.Context) (struct{}, error) { return struct{}{}, r.KV.Renew(ctx, lease) })
	return err
}

// resend makes a call until one copy of it is answered or none is unanswered. size is the size of
// the message in bytes.
func resend[T any](ctx context.Context, r *Resender, size int, call func(ctx context.Context) (T, error)) (T, error) {
	r.begin()
	defer r.end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // abandons the unanswered copies
	answers := make(chan answer[T], maxCopies)
	began, copies, unanswered := r.clock.Now(), 0, 0
	send := func() {
		copies++
		unanswered++
		sent := r.clock.Now()
		go func() {
			value, err := call(ctx)
			answers <- answer[T]{value: value, err: err, took: r.clock.Now().Sub(sent)}
		}()
	}
	send()
	interval := r.interval(size)
	timer := r.clock.After(interval)
	var ambiguous, refused error
	for {
		select {
		case a := <-answers:
			unanswered--
			switch {
			case decided(a.err):
				r.noteAnswer(a.took, copies, r.clock.Now().Sub(began))
				return a.value, a.err
			case tw.NotApplied(a.err):
				refused = a.err
			default:
				ambiguous = a.err
			}
			if unanswered == 0 {
				var none T
				return none, undecided(ambiguous, refused)
			}
		case <-timer:
			if unanswered < maxCopies && ctx.Err() == nil {
				r.resent.Inc()
				if unanswered >= silentCopies {
					r.reconnect()
				}
				send()
			}
			if copies > steadyCopies {
				interval = max(interval, min(2*interval, maxResendInterval))
			}
			timer = r.clock.After(interval)
		}
	}
}

// reconnect has further calls use new connections, if the store's client can.
func (r *Resender) reconnect() {
	if c, ok := r.KV.(reconnecter); ok {
		c.Reconnect()
	}
}

// undecided returns the error of a call whose copies were refused or not answered: one that was not
// answered may be executed, whatever the other answers.
func undecided(ambiguous, refused error) error {
	if ambiguous != nil {
		return ambiguous
	}
	return refused
}

// decided reports whether an answer tells what became of a call.
func decided(err error) bool {
	return err == nil || errors.Is(err, tw.ErrNotFound) || errors.HasType(err, (*tw.KVConflictError)(nil))
}

// interval is the time after which a call with a message of the given size is sent again.
func (r *Resender) interval(size int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	usual := min(max(minResendInterval, usualTimeFactor*r.usualTime), maxFirstInterval)
	return usual + time.Duration(float64(size)/slowLinkRate*float64(time.Second))
}

func (r *Resender) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == 0 {
		r.silentSince = r.clock.Now()
	}
	r.waiting++
}

func (r *Resender) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting--
}

// noteAnswer records that a call was decided by an answer that took the given time, after a number
// of copies.
func (r *Resender) noteAnswer(took time.Duration, copies int, after time.Duration) {
	if copies >= loggedCopies {
		r.log.Info("store: answers after calls were sent again", zap.Int("copies", copies), zap.Duration("after", after))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usualTime = max(took, r.usualTime-r.usualTime/usualTimeDecay)
	r.silentSince = r.clock.Now()
}
