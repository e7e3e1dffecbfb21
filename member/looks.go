package member

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// lookLink has looks made by one relay. One call at a time hands over the looks
	// that are to begin and brings back what others have found meanwhile.
	lookLink struct {
		relay *Relay
		to    Live

		mu sync.Mutex
		// session numbers the relay's side of the link; a new one begins after each
		// failed call.
		session int64
		calls   int
		next    int64
		begin   []LookBegin
		waiting map[int64]chan lookAnswer
		calling bool
		// avoidUntil keeps looks away from a relay that has failed.
		avoidUntil time.Time
	}

	// lookAnswer is the outcome of one look.
	lookAnswer struct {
		report tw.HoldReport
		err    error
	}
)

const (
	// lookCallTime bounds a call for looks: the relay answers within lookWindow.
	lookCallTime = 600 * time.Millisecond
	// lookWindow is how long a relay waits for something to tell, lookGather how
	// long findings gather there. A turn of some milliseconds a look costs an owner
	// of hundreds of workers all its processor time.
	lookWindow = 60 * time.Millisecond
	lookGather = 20 * time.Millisecond
	// avoidRelay is how long a relay that did not answer is not used for looks.
	avoidRelay = 3 * time.Second
)

// hold has a look made; false if the relay is not to be used at present.
func (l *lookLink) hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (lookAnswer, bool) {
	answer := make(chan lookAnswer, 1)
	l.mu.Lock()
	if l.relay.Clock.Now().Before(l.avoidUntil) {
		l.mu.Unlock()
		return lookAnswer{}, false
	}
	l.next++
	id := l.next
	l.waiting[id] = answer
	l.begin = append(l.begin, LookBegin{
		Look: id, Worker: to.ID, Address: to.Address,
		Fence: order.Fence, Seen: order.Seen, Deadline: order.Deadline, Wait: order.Wait,
	})
	if !l.calling {
		l.calling = true
		go l.run(context.WithoutCancel(ctx))
	}
	l.mu.Unlock()
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.waiting, id)
		l.mu.Unlock()
		return lookAnswer{err: errors.Wrap(tw.ErrUnclear, "member: look was given up")}, true
	}
}

// run calls the relay for as long as looks wait there.
func (l *lookLink) run(ctx context.Context) {
	for {
		request, wanted := l.request()
		if !wanted {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, lookCallTime)
		response, err := l.relay.Peers.Look(callCtx, l.to.Address, request)
		cancel()
		if err != nil {
			l.fail(err)
			continue
		}
		l.deliver(response)
	}
}

// request is the next call; false, and the link rests, if no look waits.
func (l *lookLink) request() (LooksRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.calling, l.begin = false, nil
		return LooksRequest{}, false
	}
	if l.session == 0 {
		l.session, l.calls = l.relay.Clock.Now().UnixNano(), 0
	}
	m := LooksRequest{Session: l.session, Call: l.calls, From: l.relay.Self, Begin: l.begin}
	l.calls++
	l.begin = nil
	return m, true
}

// fail gives up what the relay was asked for: the owner looks again itself.
func (l *lookLink) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.Metrics.GetOrCreateCounter("tamarind_relay_failures_total").Inc()
	l.relay.Log.Info("relay: looks given up", zap.String("daemon", string(l.to.Daemon)),
		zap.Int("looks", len(l.waiting)), zap.Duration("avoided_for", avoidRelay), logsink.Err(err))
	l.session, l.begin = 0, nil
	l.avoidUntil = l.relay.Clock.Now().Add(avoidRelay)
	for id, answer := range l.waiting {
		answer <- lookAnswer{err: run.ErrNotSent}
		delete(l.waiting, id)
	}
}

func (l *lookLink) deliver(m *LooksResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay.Metrics.GetOrCreateCounter("tamarind_relayed_looks_total").Add(len(m.Found))
	for i := range m.Found {
		found := &m.Found[i]
		answer, waits := l.waiting[found.Look]
		if !waits {
			continue
		}
		delete(l.waiting, found.Look)
		report, err := found.report()
		answer <- lookAnswer{report: report, err: err}
	}
}

// Look has another daemon look at workers.
func (p *Peers) Look(ctx context.Context, address string, m LooksRequest) (*LooksResponse, error) {
	return call(ctx, p.at(address).look, &m)
}

type (
	// Looks makes looks for owners in other daemons. Make one with LooksConfig.New.
	Looks struct {
		LooksConfig

		mu       sync.Mutex
		sessions map[lookSessionID]*lookSession
	}

	// LooksConfig configures Looks.
	LooksConfig struct {
		Orders tw.WorkerOrders
		Clock  tw.Clock
	}

	// lookSessionID names a link of an owner's daemon.
	lookSessionID struct {
		from    tw.DaemonID
		session int64
	}

	// lookSession is the relay's side of a link.
	lookSession struct {
		ctx    context.Context
		cancel context.CancelFunc
		found  []LookFound
		some   chan struct{} // takes one
		calls  int
	}
)

// sessionIdle is how long a link may make no call before what it asked for ends.
const sessionIdle = 2 * time.Second

// New makes it; it makes no call yet.
func (c LooksConfig) New() *Looks {
	return &Looks{LooksConfig: c, sessions: map[lookSessionID]*lookSession{}}
}

// Look begins looks and returns what was found meanwhile, also by earlier ones of
// the session.
func (l *Looks) Look(ctx context.Context, m *LooksRequest) (*LooksResponse, error) {
	id := lookSessionID{from: m.From, session: m.Session}
	began := l.Clock.Now()
	s, known := l.session(id, m.Call)
	if !known {
		return nil, connect.NewError(connect.CodeNotFound, errNoSession)
	}
	for _, b := range m.Begin {
		go func() {
			report, err := l.Orders.Hold(s.ctx, tw.WorkerRef{ID: b.Worker, Address: b.Address}, tw.HoldOrder{
				Fence: b.Fence, Seen: b.Seen, Deadline: b.Deadline, Wait: b.Wait,
			})
			l.note(s, lookFound(b.Look, report, err))
		}()
	}
	window := l.Clock.After(lookWindow)
	select {
	case <-s.some:
		if rest := lookGather - l.Clock.Now().Sub(began); rest > 0 {
			<-l.Clock.After(rest)
		}
	case <-window:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &LooksResponse{Found: s.found}
	s.found = nil
	select {
	case <-s.some: // that is told now
	default:
	}
	return out, nil
}

// note keeps what a look has found until the next call.
func (l *Looks) note(s *lookSession, found LookFound) {
	l.mu.Lock()
	s.found = append(s.found, found)
	l.mu.Unlock()
	select {
	case s.some <- struct{}{}:
	default: // it is known already that there is something
	}
}

// errNoSession: the calls before this one were made to another life of this daemon.
var errNoSession = errors.New("member: no such session of looks")

// session finds a link's session or, with its first call, begins it, and ends it
// once no call comes.
func (l *Looks) session(id lookSessionID, call int) (*lookSession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[id]
	if s == nil && call > 0 || s != nil && s.calls != call {
		return nil, false
	}
	if s == nil {
		s = &lookSession{some: make(chan struct{}, 1)}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		l.sessions[id] = s
		go l.expire(id, s)
	}
	s.calls++
	return s, true
}

// expire ends a session after a time without a call.
func (l *Looks) expire(id lookSessionID, s *lookSession) {
	defer s.cancel()
	for calls := 0; ; {
		<-l.Clock.After(sessionIdle)
		l.mu.Lock()
		if s.calls == calls {
			delete(l.sessions, id)
			l.mu.Unlock()
			return
		}
		calls = s.calls
		l.mu.Unlock()
	}
}
