package run

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// Bounds are limits set by the platform that the owner relies on.
	Bounds struct {
		// MaxHold is the longest time for which a worker continues its runs without a new
		// order.
		MaxHold time.Duration
		// StopTime is the longest time that a worker takes to stop a run.
		StopTime time.Duration
		// KeepEnded is how long the state of an ended submission stays available.
		KeepEnded time.Duration
	}

	// Config configures an Owner.
	Config struct {
		Book *ledger.Book
		// Loaded are the submissions that were loaded when Book was opened.
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
		// LinkBandwidth is the bandwidth of the daemon's link in one direction; zero if unknown.
		LinkBandwidth tw.BytesPerSecond
		// Cores is the share of processor cores that the daemon has; zero if unknown.
		Cores tw.Cores
		// QueueConfig returns the active configuration, which sets the usage caps; nil for
		// a pool without caps.
		QueueConfig func() *tw.QueueConfig
		// Evacuations returns the evacuated halls. The owner starts nothing while they are
		// unknown. A nil function means that there are none.
		Evacuations func() *tw.Evacuations
		// RefreshWorkers requests a new read of the list of workers, because a worker is
		// known from another source. It must not block; may be nil.
		RefreshWorkers func()
		// OnOwnershipLost is called when another daemon has taken the pool; may be nil.
		OnOwnershipLost func()
	}
)

// Parameters of the owner. Values that derive from Bounds are computed where they are used.
const (
	// unrecordedPollDelay is the time between polls of a worker with ends that are not
	// recorded yet. A longer one leaves capacity idle while the store is slow.
	unrecordedPollDelay = 400 * time.Millisecond
	// confirmInterval is the time after which the ownership is confirmed by an empty write,
	// if no other write has confirmed it.
	confirmInterval = 1500 * time.Millisecond
	// permitTTL is how long an owner may give orders after its ownership was last confirmed.
	// It covers store outages of about 5 s.
	permitTTL = 6 * time.Second
	// flushInterval is the time for which changes are batched into one write; the store
	// answers in 4 ms.
	flushInterval = 15 * time.Millisecond
	// flushRetryDelay is the pause after a write that the store refused.
	flushRetryDelay = 150 * time.Millisecond
	// writeStallTimeout is the time without an answer to a write after which the owner
	// refuses submissions. It is about twice the 240 ms that a slow store takes.
	writeStallTimeout = 500 * time.Millisecond
	// endBatchDelay is the pause before the next poll of a worker, so that one report carries
	// several ends. The platform charges for each poll, and objectives are above 1 s.
	endBatchDelay = 200 * time.Millisecond
	// lastEndBatchDelay replaces endBatchDelay if at most fewSubtasksLeft subtasks of a step
	// are left, as other steps may wait for that step.
	lastEndBatchDelay = 30 * time.Millisecond
	fewSubtasksLeft   = 3
	// busyLastEndBatchDelay replaces lastEndBatchDelay while the owner is busy.
	busyLastEndBatchDelay = 100 * time.Millisecond
	// fullPoolBatchDelay replaces endBatchDelay while work waits for a worker: until an end is
	// known, its capacity is idle.
	fullPoolBatchDelay = 30 * time.Millisecond
	// fullPoolUnrecordedDelay replaces unrecordedPollDelay while work waits for a worker. Each
	// answer repeats the ends that are not recorded.
	fullPoolUnrecordedDelay = 100 * time.Millisecond
	// longPollWait is how long a worker may wait for an end before it answers a poll.
	longPollWait = 1500 * time.Millisecond
	// startAnswerWait is how long a poll is delayed while starts are unanswered. An answer
	// usually takes some milliseconds.
	startAnswerWait = 400 * time.Millisecond
	// shortPollWait replaces longPollWait where tail latencies must be watched, a run is
	// overdue or a long-running run is not ready.
	shortPollWait = 600 * time.Millisecond
	// pollRetryDelay is the pause after a poll that got no answer.
	pollRetryDelay = 300 * time.Millisecond
	// ackEndsDelay is the time within which recorded ends are acknowledged to an idle
	// worker.
	ackEndsDelay = 700 * time.Millisecond
	// clockDrift is the factor by which a worker's clock may run slow.
	clockDrift = 1.02
	// grantMargin covers rounding and the transmission time of an order.
	grantMargin = 200 * time.Millisecond
	// eventQueueSize bounds the events queued for the loop; senders block when it is full.
	eventQueueSize = 1024
	// sessionQueueSize bounds the orders queued for a worker.
	sessionQueueSize = 256
	// stopQueueSize bounds the stops queued for a worker. Those that find it full are ordered again.
	stopQueueSize = 64
	// drainTimeout bounds the writes before a planned end of the ownership. It covers two
	// writes of a slow store, which take 240 ms each.
	drainTimeout = 800 * time.Millisecond
	// missingTimeout is how long an entry may be missing from the list of workers before its
	// worker is dropped. After a disturbance of the store, entries may be missing for about
	// 2 s.
	missingTimeout = 2500 * time.Millisecond
)
