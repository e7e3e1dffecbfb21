package run

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// Owner owns a pool. Make one with Config.New, end it with Close.
type Owner struct {
	pool    tw.PoolID
	self    ledger.Owner
	kv      tw.KV
	orders  tw.WorkerOrders
	advisor *adviser
	census  *Census
	clock   tw.Clock
	log     *zap.Logger
	metrics *ownerMetrics
	bounds  Bounds
	deposed func()
	// link is what the daemon's link carries; zero if that is not known.
	link tw.BytesPerSecond
	// readWorkers has the list of workers read anew; never nil.
	readWorkers func()
	// evacuations are the evacuated halls as the daemon knows them; never nil.
	evacuations func() *tw.Evacuations

	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	permit permit
	// patience bounds the time of each order.
	patience patience

	// What follows belongs to the loop.

	now         time.Time
	takenAt     time.Time
	submissions map[tw.SubmissionID]*submission
	// live are the submissions that have not ended.
	live map[tw.SubmissionID]*submission
	// timed are the live submissions with repetitions that are still to come or to
	// begin.
	timed   map[tw.SubmissionID]*submission
	waiting map[tw.RouteName]int
	workers map[tw.WorkerID]*worker
	// lives are the workers of each machine.
	lives map[tw.InstanceID][]*worker
	// byPlace are the workers by hall, rack and rank, the order in which they are
	// filled; nil when it is to be worked out anew.
	byPlace []*worker
	// ranks are the ranks in use.
	ranks      map[int]bool
	lookSeq    int64
	runCounter tw.RunNumber
	// placeSoon asks for a placement pass.
	placeSoon bool
	// placeFrom is before when no pass is made, so that passes over much
	// waiting work leave the loop time for everything else.
	placeFrom time.Time
	// looksFrom, runsFrom and workersFrom are before when lookAround, watchRuns
	// and watchWorkers are not called again: each visits all workers, and events
	// come by the thousand a second.
	looksFrom   time.Time
	runsFrom    time.Time
	workersFrom time.Time
	// preemptAt is when the next waiting work may preempt other work, so that a
	// placement pass is due then; zero if none waits for that.
	preemptAt  time.Time
	waitLogged time.Time
	// shortLogged is when it was last told that the owner is short, loopLate the longest that
	// the loop was late since.
	shortLogged time.Time
	loopLate    time.Duration
	window      *sendWindow
	backlog     backlog
	writer      *writer
	caps        *caps
	learned     map[learnKey]correction
	usual       usualWork
	// ended are workers whose life has ended: their entries may linger or come back.
	ended map[tw.WorkerID]endedLife
	// unclaimed are ends of subtasks whose submission is not known here, by
	// submission. A former owner that was told of it later may have run them.
	unclaimed map[tw.SubmissionID][]unclaimedEnd
	vacate    map[tw.InstanceID]bool
	vacateAt  time.Time
	// evacuated are the evacuated halls that the owner goes by.
	evacuated *tw.Evacuations
	feedAt    time.Time
	offered   Work
	// offeredCount counts the submissions whose work is in offered.
	offeredCount int64
	// counted: the list of machines was read since the takeover.
	counted bool
	// deposing: the ownership is being given up.
	deposing bool
	// retiring: what is known is recorded before a planned end of the
	// ownership, and nothing else is taken up.
	retiring bool
}

// Errors that callers of an Owner get. Further ones are those of tw.KV:
// ErrUnavailable and ErrRateLimited prove that nothing was done.
var (
	ErrNotOwner = errors.New("this daemon does not own the pool")
	ErrUnknown  = errors.New("no such submission")
)

// runBase spaces the run numbers of successive owners, so that a new owner's
// are higher without a record of the last one. An owner starts fewer.
const runBase = 10_000_000

// New starts the owner's duties.
func (c Config) New() *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	now := c.Clock.Now()
	o := &Owner{
		pool: c.Self.Pool, self: c.Self, kv: c.KV, orders: c.Orders,
		census: c.Census, clock: c.Clock, bounds: c.Bounds, link: c.Link, deposed: c.Deposed, readWorkers: c.ReadWorkers,
		evacuations: c.Evacuations,
		log:         c.Log.With(zap.String("pool", string(c.Self.Pool)), zap.Int64("fence", int64(c.Book.Fence()))),
		events:      make(chan func(), eventQueue), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		now: now, takenAt: now, feedAt: now,
		submissions: map[tw.SubmissionID]*submission{},
		live:        map[tw.SubmissionID]*submission{},
		timed:       map[tw.SubmissionID]*submission{},
		waiting:     map[tw.RouteName]int{},
		workers:     map[tw.WorkerID]*worker{},
		lives:       map[tw.InstanceID][]*worker{},
		ranks:       map[int]bool{},
		learned:     map[learnKey]correction{},
		ended:       map[tw.WorkerID]endedLife{},
		unclaimed:   map[tw.SubmissionID][]unclaimedEnd{},
		runCounter:  tw.RunNumber(c.Book.Fence()) * runBase,
		placeSoon:   true,
	}
	if o.readWorkers == nil {
		o.readWorkers = func() {}
	}
	if o.evacuations == nil {
		o.evacuations = func() *tw.Evacuations { return &tw.Evacuations{} }
	}
	o.metrics = newOwnerMetrics(c.Metrics, c.Self.Pool)
	o.advisor = newAdviser(o, c.Advisor)
	o.window = newSendWindow(now, firstWindow(c.Cores, c.Link))
	o.writer = newWriter(o, c.Book)
	o.caps = newCaps(o, c.Configuration)
	// Reading the submissions may have taken long, and another daemon may have taken
	// the pool since: it counts on this owner's grants from its last write.
	o.permit.extend(c.Book.Confirmed().Add(permitTime))
	for _, l := range c.Loaded {
		o.takeUp(l)
	}
	o.log.Info("owner: taken", zap.Int("submissions", len(o.submissions)))
	go func() {
		defer close(o.done)
		o.loop()
	}()
	return o
}

// takeUp takes a submission as the store has it.
func (o *Owner) takeUp(l ledger.Loaded) {
	if l.Record.Final != "" {
		o.caps.inherit(l.Record)
		o.submissions[l.ID] = &submission{
			Submission: tw.Submission{ID: l.ID, Organisation: l.Record.Organisation}, durable: true, final: l.Record.Final, endedAt: o.now,
		}
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
		o.hold(sub)
	}
	o.claimRuns(sub)
	o.claimEnds(sub)
	sub.mayBeSpent = sub.spent()
	if l.CancelInInbox {
		// Read with the inbox's other messages, a while later, it was started before.
		o.followMessage(ledger.InboxRecord{Kind: ledger.InboxCancel, ID: sub.ID})
	}
}

func (o *Owner) add(sub *submission) {
	o.submissions[sub.ID] = sub
	o.live[sub.ID] = sub
	o.waiting[sub.Policy.Route]++
	if sub.ending != "" {
		o.writer.mark(sub)
	}
	o.open(sub)
}

// begin notes that a subtask has been started.
func (o *Owner) begin(sub *submission) {
	if !sub.begun {
		sub.begun = true
		o.waiting[sub.Policy.Route]--
	}
}

// open opens what is due.
func (o *Owner) open(sub *submission) { o.openBelow(sub, 0) }

// openBelow opens what is due, and the repetitions below a number in any case.
func (o *Owner) openBelow(sub *submission, below int) {
	begun := sub.begun
	sub.openDue(o.clock.Now(), below)
	if sub.waits() {
		o.timed[sub.ID] = sub
	} else {
		delete(o.timed, sub.ID)
	}
	if sub.begun && !begun {
		o.waiting[sub.Policy.Route]--
	}
	o.settleFinished(sub)
	o.placeSoon = true
}

// Record is the ownership as other daemons know it.
func (o *Owner) Record() ledger.Owner { return o.self }

// Done is closed when the owner has ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Close ends the ownership without a word to anybody: a successor takes over
// from the store and the workers.
func (o *Owner) Close() {
	o.cancel()
	<-o.done
}

// Drain writes down what is not recorded yet and then ends the ownership, for
// a planned stop. What ends meanwhile is left to the successor: workers list an
// end until it was confirmed.
func (o *Owner) Drain(ctx context.Context) {
	flushed := make(chan struct{})
	o.post(ctx, func() {
		o.retiring = true
		o.writer.whenIdle(func() { close(flushed) })
	})
	select {
	case <-flushed:
	case <-ctx.Done():
	case <-o.done:
	case <-o.clock.After(drainTime):
		o.log.Warn("owner: not all is recorded, the successor learns it from the workers")
	}
	o.Close()
}

// post hands an event to the loop; false if the owner or the context ended.
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
	for _, w := range o.workers {
		<-w.session.done
	}
	o.writer.close()
	o.caps.close()
	o.advisor.close()
	for _, sub := range o.writer.fresh {
		sub.answer(ErrNotOwner) // it was not sent to the store
	}
	for _, sub := range o.submissions {
		sub.answer(errors.Wrap(tw.ErrUnclear, "run: the ownership ended meanwhile"))
	}
	o.log.Info("owner: ended")
}

// depose ends the ownership because another daemon has it.
func (o *Owner) depose(why string) {
	if o.deposing {
		return
	}
	o.deposing = true
	o.log.Warn("owner: deposed", zap.String("why", why))
	o.cancel()
	if o.deposed != nil {
		o.deposed()
	}
}

// kept tells those who wait for the submission to be kept that it is.
func (s *submission) kept() {
	for _, waiter := range s.waiters {
		waiter <- nil
	}
	s.waiters = nil
}

// answer tells all who wait for the submission to be recorded.
func (s *submission) answer(err error) {
	for _, waiter := range s.waiters {
		waiter <- err
	}
	for _, waiter := range s.enders {
		waiter <- err
	}
	s.waiters, s.enders = nil, nil
}
