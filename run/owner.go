package run

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// Owner owns a pool. Config.New creates one, and Close or Drain ends it.
type Owner struct {
	pool            tw.PoolID
	self            ledger.Owner
	kv              tw.KV
	orders          tw.WorkerOrders
	advisor         *advisorClient
	machineCache    *MachineCache
	clock           tw.Clock
	log             *zap.Logger
	metrics         *ownerMetrics
	bounds          Bounds
	onOwnershipLost func()
	// link is the bandwidth of the daemon's link; zero if unknown.
	link tw.BytesPerSecond
	// refreshWorkers requests a new read of the list of workers; never nil.
	refreshWorkers func()
	// evacuations returns the evacuated halls known to the daemon; never nil.
	evacuations func() *tw.Evacuations

	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// sessions counts those that have not ended, also of workers that were removed.
	sessions sync.WaitGroup
	permit   permit
	refusals refusals
	// orderTimeout bounds the time of each order, hedge is the time after which it is sent
	// again, loss the share of orders without an answer.
	orderTimeout orderTimeout
	hedge        hedgeDelay
	loss         answerLoss

	// The fields below are accessed by the loop only.

	now         time.Time
	takeoverAt  time.Time
	submissions map[tw.SubmissionID]*submission
	// live are the submissions that have not ended.
	live map[tw.SubmissionID]*submission
	// ended are the submissions of which the end is recorded, in the order of their ends.
	ended []*submission
	// scheduled are the live submissions with repetitions that are still to be opened or to
	// begin.
	scheduled map[tw.SubmissionID]*submission
	// waiting counts the submissions of which no subtask has begun, by route.
	waiting map[tw.RouteName]int
	workers map[tw.WorkerID]*worker
	// workersByInstance are the workers of each machine.
	workersByInstance map[tw.InstanceID][]*worker
	// sortedWorkers are the workers by hall, rack and rank, the order in which placement
	// fills them; nil if they must be sorted again.
	sortedWorkers []*worker
	// ranks are the ranks in use.
	ranks      map[int]bool
	pollSeq    int64
	runCounter tw.RunNumber
	// precountedOn are the subtasks with precounted starts of previous owners, by the worker that was
	// to get the start. They are resolved when that worker first answers.
	precountedOn map[tw.WorkerID][]*task
	// unrecorded are the placed runs of which the start waits to be recorded. recordsChanged: some
	// may have been recorded since they were last looked at.
	unrecorded     []*runState
	recordsChanged bool
	// placeRequested requests a placement pass.
	placeRequested bool
	// nextPlaceAt is the earliest time of the next pass, so that passes over much waiting
	// work leave the loop time for everything else.
	nextPlaceAt time.Time
	// nextPollsAt, nextRunWatchAt and nextWorkerWatchAt are the earliest times of the next
	// pollWorkers, watchRuns and watchWorkers. Each of these visits all workers, and there
	// are thousands of events a second.
	nextPollsAt       time.Time
	nextRunWatchAt    time.Time
	nextWorkerWatchAt time.Time
	// placeRetryAt is when a placement pass is due without a request, as waiting work may fit,
	// be tried or preempt other work by then; zero if no work waits for that.
	placeRetryAt time.Time
	// nextWaitLogAt is the earliest time at which subtasks that have waited long are looked for again.
	nextWaitLogAt time.Time
	classLog      classLog
	// roomShortAt is when a placement pass last left work waiting for capacity.
	roomShortAt time.Time
	// shortLoggedAt is when the owner last logged that it is overloaded, maxLoopDelay the
	// longest delay of the loop since then.
	shortLoggedAt time.Time
	maxLoopDelay  time.Duration
	window        *sendWindow
	backlog       backlog
	writer        *writer
	fetches       fetches
	caps          *caps
	// runTimes are the learned run times.
	runTimes map[estimateKey]*schedule.RunTimes
	typical  typicalWork
	// rates are the organisations' rates of submissions in this pool.
	rates schedule.Rates
	// beyondLoggedAt is when work beyond a weight was last logged.
	beyondLoggedAt time.Time
	// terminated are workers that no longer run. Their entries may linger or come back.
	terminated map[tw.WorkerID]terminatedWorker
	// underWay are the orders to removed workers that may still be carried out.
	underWay map[tw.WorkerID]ordersUnderWay
	// listed are the workers in the last list of workers. It must not be changed.
	listed map[tw.WorkerID]tw.WorkerEntry
	// listedElsewhere counts those that are not used, as the list of machines has them in another pool.
	listedElsewhere int
	// unclaimed are the ends of runs whose submission is not known yet, by submission. A
	// previous owner may have started such runs, if it learned of the submission after this
	// owner had loaded the submissions.
	unclaimed map[tw.SubmissionID][]unclaimedEnd
	// vacate are the machines that the machine manager wants vacated, as of vacateAt.
	vacate   map[tw.InstanceID]bool
	vacateAt time.Time
	// upcoming are the machines that a maintenance wave will take down, also as of vacateAt.
	upcoming map[tw.InstanceID]bool
	// evacuated are the evacuated halls that the owner currently applies.
	evacuated *tw.Evacuations
	// evacuatedRuns is the number of runs in evacuated halls when evacuationsReportedAt was set,
	// evacuationLoggedAt the time at which they were last logged.
	evacuatedRuns         int
	evacuationsReportedAt time.Time
	evacuationLoggedAt    time.Time

	storeReachableSince time.Time
	offered             Work
	// offeredCount is the number of submissions whose work is in offered.
	offeredCount int64
	// machineListRead: the list of machines was read since the takeover.
	machineListRead bool
	// answersLost: a share of the orders to workers got no answer when that was last looked at.
	answersLost bool
	// ownershipLost: another daemon has the pool, and this owner is ending.
	ownershipLost bool
	// draining: pending changes are recorded before a planned end of the ownership, and
	// nothing new is accepted.
	draining bool
}

// Errors returned by an Owner, besides those of tw.KV, of which ErrUnavailable and
// ErrRateLimited guarantee that nothing was done.
var (
	ErrNotOwner          = errors.New("this daemon does not own the pool")
	ErrUnknownSubmission = errors.New("no such submission")
)

// runNumbersPerOwner separates the run numbers of successive owners, so that those of a new
// owner are higher without a record of the last one used. An owner makes fewer starts than this.
const runNumbersPerOwner = 10_000_000

// New starts an Owner.
func (c Config) New() *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	now := c.Clock.Now()
	o := &Owner{
		pool: c.Self.Pool, self: c.Self, kv: c.KV, orders: c.Orders,
		machineCache: c.MachineCache, clock: c.Clock, bounds: c.Bounds, link: c.LinkBandwidth, onOwnershipLost: c.OnOwnershipLost, refreshWorkers: c.RefreshWorkers,
		evacuations: c.Evacuations,
		log:         c.Log.With(zap.String("pool", string(c.Self.Pool)), zap.Int64("fence", int64(c.Book.Fence()))),
		events:      make(chan func(), eventQueueSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		now: now, takeoverAt: now, storeReachableSince: now,
		submissions:       map[tw.SubmissionID]*submission{},
		live:              map[tw.SubmissionID]*submission{},
		scheduled:         map[tw.SubmissionID]*submission{},
		waiting:           map[tw.RouteName]int{},
		workers:           map[tw.WorkerID]*worker{},
		workersByInstance: map[tw.InstanceID][]*worker{},
		ranks:             map[int]bool{},
		runTimes:          map[estimateKey]*schedule.RunTimes{},
		terminated:        map[tw.WorkerID]terminatedWorker{},
		underWay:          map[tw.WorkerID]ordersUnderWay{},
		unclaimed:         map[tw.SubmissionID][]unclaimedEnd{},
		precountedOn:      map[tw.WorkerID][]*task{},
		fetches:           fetches{},
		runCounter:        tw.RunNumber(c.Book.Fence()) * runNumbersPerOwner,
		placeRequested:    true,
	}
	if o.refreshWorkers == nil {
		o.refreshWorkers = func() {}
	}
	if o.evacuations == nil {
		o.evacuations = func() *tw.Evacuations { return &tw.Evacuations{} }
	}
	o.metrics = newOwnerMetrics(c.Metrics, c.Self.Pool)
	o.advisor = newAdvisorClient(o, c.Advisor)
	o.window = newSendWindow(now, initialWindow(c.Cores, c.LinkBandwidth))
	o.writer = newWriter(o, c.Book)
	o.caps = newCaps(o, c.QueueConfig)
	// Loading the submissions may have taken long, and another daemon may have taken the pool
	// since. That daemon computes how long this owner may give orders from the last write, not
	// from now.
	o.permit.extend(c.Book.ConfirmedAt().Add(permitTTL))
	for _, l := range c.Loaded {
		o.loadSubmission(l)
	}
	o.replayHandIns()
	o.logTaken()
	go func() {
		defer close(o.done)
		o.loop()
	}()
	return o
}

// logTaken logs what the owner has read of its pool.
func (o *Owner) logTaken() {
	ending := 0
	for _, sub := range o.live {
		if sub.closed() {
			ending++
		}
	}
	o.log.Info("owner: taken", zap.Int("submissions", len(o.submissions)), zap.Int("live", len(o.live)), zap.Int("ending", ending))
}

// loadSubmission adds a submission as read from the store.
func (o *Owner) loadSubmission(l ledger.LoadedSubmission) {
	if l.Record.Final != "" {
		o.caps.inherit(l.Record)
		sub := &submission{Submission: tw.Submission{ID: l.ID, Organisation: l.Record.Organisation}, durable: true, final: l.Record.Final, unsubmitted: l.Record.Unsubmitted, endedAt: o.now}
		o.submissions[l.ID] = sub
		o.ended = append(o.ended, sub)
		return
	}
	if l.Record.Submission == nil {
		o.log.Error("owner: record without a submission", zap.String("submission", string(l.ID)))
		return
	}
	sub := newSubmission(*l.Record.Submission, l.Progress)
	sub.durable = true
	sub.inherited = !l.InInbox
	o.add(sub)
	if l.InInbox {
		o.delayStart(sub)
	}
	o.claimRuns(sub)
	o.claimEnds(sub)
	o.indexPrecounted(sub)
	sub.mayBeExhausted = sub.exhausted()
	if l.Record.Cancelled || l.CancelInInbox {
		// The inbox is read some time later, and the submission would be started before that.
		o.applyMessage(ledger.InboxRecord{Kind: ledger.InboxCancel, ID: sub.ID})
	}
}

func (o *Owner) add(sub *submission) {
	o.submissions[sub.ID] = sub
	o.live[sub.ID] = sub
	o.waiting[sub.Policy.Route]++
	if sub.pendingFinal != "" {
		o.writer.markDirty(sub)
	}
	o.open(sub)
}

// markBegun records that a subtask of the submission has been started, or that none will be.
func (o *Owner) markBegun(sub *submission) {
	if !sub.begun {
		sub.begun = true
		o.waiting[sub.Policy.Route]--
	}
}

// open opens the repetitions that are due.
func (o *Owner) open(sub *submission) { o.openBelow(sub, 0) }

// openBelow opens the repetitions that are due, and those numbered below a number in any case.
func (o *Owner) openBelow(sub *submission, below int) {
	begun := sub.begun
	sub.openDue(o.clock.Now(), below)
	if sub.hasFutureRepetitions() {
		o.scheduled[sub.ID] = sub
	} else {
		delete(o.scheduled, sub.ID)
	}
	if sub.begun && !begun {
		o.waiting[sub.Policy.Route]--
	}
	o.closeFinished(sub)
	o.placeRequested = true
}

// Record returns the ownership as other daemons see it.
func (o *Owner) Record() ledger.Owner { return o.self }

// Done returns a channel that is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Close ends the ownership without notifying other daemons. A successor learns the state of the
// pool from the store and the workers.
func (o *Owner) Close() {
	o.cancel()
	<-o.done
}

// Drain records pending changes and then ends the ownership, for a planned stop. Runs that end
// meanwhile are left to the successor, as workers report an end until it is acknowledged.
func (o *Owner) Drain(ctx context.Context) {
	flushed := make(chan struct{})
	o.post(ctx, func() {
		o.draining = true
		o.withdrawUnrecorded()
		o.writer.whenIdle(func() { close(flushed) })
	})
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-o.done:
	case <-o.clock.After(drainTimeout):
		o.log.Warn("owner: not all ends recorded in time, the successor learns of them from the workers")
	}
	o.Close()
}

// post passes an event to the loop. It returns false if the owner or the context has ended.
func (o *Owner) post(ctx context.Context, event func()) bool {
	select {
	case o.events <- event:
		return true
	case <-o.done:
		return false
	case <-ctx.Done():
		return false
	}
}

func (o *Owner) end() {
	o.cancel()
	for _, w := range o.workers {
		w.session.close()
	}
	o.sessions.Wait()
	o.writer.close()
	o.caps.close()
	o.advisor.close()
	o.classLog = classLog{}
	o.publishClasses()
	for _, sub := range o.writer.newSubmissions {
		sub.notifyWaiters(ErrNotOwner) // it was not sent to the store
	}
	for _, sub := range o.submissions {
		sub.notifyWaiters(errors.Wrap(tw.ErrAmbiguous, "run: the ownership ended meanwhile"))
	}
	if o.evacuatedRuns > 0 {
		o.metrics.setEvacuatedRuns(nil) // the next owner counts them
	}
	o.log.Info("owner: ended")
}

// loseOwnership ends the owner because another daemon has the pool.
func (o *Owner) loseOwnership(reason string) {
	if o.ownershipLost {
		return
	}
	o.ownershipLost = true
	o.log.Warn("owner: ownership lost", zap.String("why", reason))
	o.cancel()
	if o.onOwnershipLost != nil {
		o.onOwnershipLost()
	}
}

// notifyDurable reports to its waiters that the submission is stored.
func (s *submission) notifyDurable() { s.answerWaiters(nil) }

// answerWaiters passes a result to the requests that wait for the submission to be stored.
func (s *submission) answerWaiters(err error) {
	for _, waiter := range s.waiters {
		waiter <- err
	}
	s.waiters = nil
}

// notifyWaiters passes a result to all requests that wait for the submission or its cancel to
// be recorded.
func (s *submission) notifyWaiters(err error) {
	for _, waiter := range s.waiters {
		waiter <- err
	}
	for _, waiter := range s.cancelWaiters {
		waiter <- err
	}
	s.waiters, s.cancelWaiters = nil, nil
}
