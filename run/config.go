package run

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// Bounds are the platform's figures that the owner's decisions rest on.
	Bounds struct {
		// MaxHold is the longest time for which a worker lets work run on
		// without a new order.
		MaxHold time.Duration
		// StopTime is how long a stop may take at a worker.
		StopTime time.Duration
		// KeepEnded is how long the state of an ended submission is told.
		KeepEnded time.Duration
	}

	// Config configures an Owner.
	Config struct {
		Book *ledger.Book
		// Loaded is what the book held when it was opened.
		Loaded  []ledger.Loaded
		Self    ledger.Owner
		KV      tw.KV
		Orders  tw.WorkerOrders
		Advisor tw.Advisor
		Census  *Census
		Clock   tw.Clock
		Log     *zap.Logger
		Metrics *metrics.Set
		Bounds  Bounds
		// Link is what the daemon's link carries in one direction; zero if that is not
		// known.
		Link tw.BytesPerSecond
		// Cores is the share of processor cores that the daemon has; zero if that is not
		// known.
		Cores tw.Cores
		// Configuration is the configuration in force, whose usage caps count; nil for a
		// pool without caps.
		Configuration func() *tw.QueueConfig
		// Evacuations are the evacuated halls; nothing is started while they are not known.
		// If it is nil there are none.
		Evacuations func() *tw.Evacuations
		// ReadWorkers has the list of workers read anew, as one of them is known
		// from elsewhere. It must return at once; nil if there is no way.
		ReadWorkers func()
		// Deposed is told when another daemon has taken the pool.
		Deposed func()
	}
)

// Figures of the owner's duties. Those that follow from the platform's bounds
// are worked out in the code.
const (
	// unrecordedLook is the time between looks at a worker whose ends the store has
	// not taken yet: with 1.5 s, room for work of 0.6 s stood empty while the store
	// took 0.24 s for each write.
	unrecordedLook = 400 * time.Millisecond
	// confirmEvery: an ownership that nothing else confirmed is confirmed by
	// an empty write.
	confirmEvery = 1500 * time.Millisecond
	// permitTime is how long an owner gives orders after its ownership was
	// last confirmed. It covers the outages of the store of about 5 s.
	permitTime = 6 * time.Second
	// flushGap gathers changes into one write; the store answers in 4 ms.
	flushGap = 15 * time.Millisecond
	// flushRetry is the pause after a write that the store refused.
	flushRetry = 150 * time.Millisecond
	// stalledAfter: a write that is not answered by then makes the owner
	// refuse submissions. It is twice the slow store's 240 ms.
	stalledAfter = 500 * time.Millisecond
	// gatherEnds lets ends gather at a worker before the next look. Looks are
	// priced; objectives are above 1 s.
	gatherEnds = 200 * time.Millisecond
	// gatherLast is the same where at most lastOfStep subtasks of a step are
	// left, as its end is what others wait for.
	gatherLast = 30 * time.Millisecond
	lastOfStep = 3
	// longLook is how long a worker may wait for an end to report.
	longLook = 1500 * time.Millisecond
	// startsFirst is how long a look waits for the answers to starts, which
	// take some milliseconds.
	startsFirst = 400 * time.Millisecond
	// closeLook is the same where tails must be watched or a run is overdue.
	closeLook = 600 * time.Millisecond
	// lookRetry is the pause after a look that got no answer.
	lookRetry = 300 * time.Millisecond
	// confirmEndsAfter: an idle worker is told of recorded ends within this.
	confirmEndsAfter = 700 * time.Millisecond
	// clockDrift is how much slower a worker's clock may run.
	clockDrift = 1.02
	// grantMargin covers rounding and the way of an order to a worker.
	grantMargin = 200 * time.Millisecond
	// eventQueue bounds what waits for the loop; senders wait when it is full.
	eventQueue = 1024
	// sessionQueue bounds the orders that wait for a worker.
	sessionQueue = 256
	// drainTime bounds the writes before a planned end of the ownership: two of
	// the slow store's, which take 240 ms each.
	drainTime = 800 * time.Millisecond
	// goneAfter is how long an entry may be missing from the list of workers
	// after the store was disturbed; the users' letter gives about 2 s.
	goneAfter = 2500 * time.Millisecond
)
