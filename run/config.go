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
		Loaded       []ledger.LoadedSubmission
		Self         ledger.Owner
		KV           tw.KV
		Orders       tw.WorkerOrders
		Advisor      tw.Advisor
		MachineCache *MachineCache
		Clock        tw.Clock
		Log          *zap.Logger
		Metrics      *metrics.Set
		Bounds       Bounds
		// Link is what the daemon's link carries in one direction; zero if that is not
		// known.
		Link tw.BytesPerSecond
		// Cores is the share of processor cores that the daemon has; zero if that is not
		// known.
		Cores tw.Cores
		// QueueConfig is the configuration in force, whose usage caps count; nil for a
		// pool without caps.
		QueueConfig func() *tw.QueueConfig
		// Evacuations are the evacuated halls; nothing is started while they are not known.
		// If it is nil there are none.
		Evacuations func() *tw.Evacuations
		// RefreshWorkers has the list of workers read anew, as one of them is known
		// from elsewhere. It must return at once; nil if there is no way.
		RefreshWorkers func()
		// OnOwnershipLost is told when another daemon has taken the pool.
		OnOwnershipLost func()
	}
)

// Figures of the owner's duties. Those that follow from the platform's bounds
// are worked out in the code.
const (
	// unrecordedPollDelay is the time between looks at a worker whose ends the store has
	// not taken yet: with 1.5 s, room for work of 0.6 s stood empty while the store
	// took 0.24 s for each write.
	unrecordedPollDelay = 400 * time.Millisecond
	// confirmInterval: an ownership that nothing else confirmed is confirmed by
	// an empty write.
	confirmInterval = 1500 * time.Millisecond
	// permitTTL is how long an owner gives orders after its ownership was
	// last confirmed. It covers the outages of the store of about 5 s.
	permitTTL = 6 * time.Second
	// flushInterval gathers changes into one write; the store answers in 4 ms.
	flushInterval = 15 * time.Millisecond
	// flushRetryDelay is the pause after a write that the store refused.
	flushRetryDelay = 150 * time.Millisecond
	// writeStallTimeout: a write that is not answered by then makes the owner
	// refuse submissions. It is twice the slow store's 240 ms.
	writeStallTimeout = 500 * time.Millisecond
	// endBatchDelay lets ends gather at a worker before the next look. Looks are
	// priced; objectives are above 1 s.
	endBatchDelay = 200 * time.Millisecond
	// lastEndBatchDelay is the same where at most lastOfStep subtasks of a step are
	// left, as its end is what others wait for.
	lastEndBatchDelay = 30 * time.Millisecond
	fewSubtasksLeft   = 3
	// longPollWait is how long a worker may wait for an end to report.
	longPollWait = 1500 * time.Millisecond
	// startAnswerWait is how long a look waits for the answers to starts, which
	// take some milliseconds.
	startAnswerWait = 400 * time.Millisecond
	// shortPollWait is the same where tails must be watched or a run is overdue.
	shortPollWait = 600 * time.Millisecond
	// pollRetryDelay is the pause after a look that got no answer.
	pollRetryDelay = 300 * time.Millisecond
	// confirmEndsDelay: an idle worker is told of recorded ends within this.
	confirmEndsDelay = 700 * time.Millisecond
	// clockDrift is how much slower a worker's clock may run.
	clockDrift = 1.02
	// grantMargin covers rounding and the way of an order to a worker.
	grantMargin = 200 * time.Millisecond
	// eventQueueSize bounds what waits for the loop; senders wait when it is full.
	eventQueueSize = 1024
	// sessionQueueSize bounds the orders that wait for a worker.
	sessionQueueSize = 256
	// drainTimeout bounds the writes before a planned end of the ownership: two of
	// the slow store's, which take 240 ms each.
	drainTimeout = 800 * time.Millisecond
	// missingTimeout is how long an entry may be missing from the list of workers
	// after the store was disturbed; the users' letter gives about 2 s.
	missingTimeout = 2500 * time.Millisecond
)
