package run_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/queue"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// callerPath is how the calls of a caller reach the pool's owner.
	callerPath string

	// cancelMoment is when a submission is cancelled.
	cancelMoment string

	// cancelAnswer is the answer to a cancel.
	cancelAnswer string

	// cancelDay is what callers do on a day.
	cancelDay struct {
		accept, cancel callerPath
		moment         cancelMoment
		// slow: the store is slow, so that the owner makes several writes at a time.
		slow bool
	}

	// dayResult is what came of a day.
	dayResult struct {
		// trace are the points that were reached, in order; struck is the number of faults that came.
		trace  []tracedPoint
		struck int
		// broken are the rules that were broken.
		broken []string
	}

	// callers are the calls of a day and their results.
	callers struct {
		keptDone, posted, cancelled    chan struct{}
		keptErr, postErr, cancelledErr error
	}
)

const (
	throughOwner callerPath = "owner"
	throughStore callerPath = "store"
	// throughBoth: the owner's answer is lost, so that the call is repeated through the store.
	throughBoth callerPath = "both"
	// throughLate: as throughBoth, and the owner gets the call when the caller has had the answer of the store.
	throughLate callerPath = "store, late by owner"

	whileStored  cancelMoment = "while it is stored"
	onceAccepted cancelMoment = "once it is accepted"
	onceRunning  cancelMoment = "once it runs"
	// repeated: the submission is sent again after the answer to its cancel.
	repeated cancelMoment = "once it is accepted, and sent again"

	answeredCancelled cancelAnswer = "answered as cancelled"
	answeredUnknown   cancelAnswer = "answered that there is no such submission"

	cancelledID tw.SubmissionID = "5c0e7a21d94b36f8"
	keptID      tw.SubmissionID = "1d2e3f4051627384"

	// cancelBound is the time after an answered cancel from which daemons that are in touch start nothing of
	// the submission any more, contactTime how long a daemon must have been undisturbed to be in touch.
	cancelBound = 3 * time.Second
	contactTime = 3 * time.Second
	// ackTime is the time in which a cancel must be answered once nothing is disturbed.
	ackTime = 5 * time.Second
	// finishTime is the time in which accepted work ends.
	finishTime = 15 * time.Second
	// callerPause is the time after which a caller without an answer calls again.
	callerPause = 300 * time.Millisecond
	// lateCall is how late an owner gets a call that was delayed.
	lateCall = 2500 * time.Millisecond
	// slowStoreTime is how long a slow store takes for a call.
	slowStoreTime = 200 * time.Millisecond
)

// errNoAnswer means that a caller had no answer.
var errNoAnswer = errors.New("no answer")

func (d cancelDay) String() string {
	return fmt.Sprintf("accepted by %s, cancelled by %s %s, slow %v", d.accept, d.cancel, d.moment, d.slow)
}

// call makes a call of a caller until it has a definite answer, at one daemon after the other from daemon
// n on.
func (c *cluster) call(n int, path callerPath, do func(ctx context.Context, r *queue.Router) error, definite func(error) bool) error {
	for ; ; n++ {
		c.mu.Lock()
		d := c.daemons[n%len(c.daemons)]
		c.mu.Unlock()
		err := c.callAt(d, path, do)
		if err == nil || definite(err) {
			return err
		}
		select {
		case <-c.ended:
			return errNoAnswer
		case <-time.After(callerPause):
		}
	}
}

func (c *cluster) callAt(d *clusterDaemon, path callerPath, do func(ctx context.Context, r *queue.Router) error) error {
	ctx, cancel := context.WithTimeout(d.ctx, callerTimeout)
	defer cancel()
	router := d.router
	if path != throughOwner {
		router = d.alone
	}
	if path == throughBoth || path == throughLate {
		c.callUnread(d, path, do)
	}
	err := do(ctx, router)
	if !d.reaches(ctx, toCallers) || ctx.Err() != nil {
		return errNoAnswer
	}
	return err
}

// callUnread makes a call at the owner of which nobody reads the answer.
func (c *cluster) callUnread(d *clusterDaemon, path callerPath, do func(ctx context.Context, r *queue.Router) error) {
	late := time.Duration(0)
	if path == throughLate {
		late = lateCall
	}
	c.mu.Lock()
	c.disturbUntil(time.Now().Add(late))
	c.mu.Unlock()
	c.loops.Go(func() {
		select {
		case <-d.ctx.Done():
		case <-time.After(late):
			ctx, end := context.WithTimeout(d.ctx, callerTimeout)
			defer end()
			_ = do(ctx, d.router)
		}
	})
}

func (c *cluster) post(n int, path callerPath, s tw.Submission) error {
	return c.call(n, path, func(ctx context.Context, r *queue.Router) error { return r.Submit(ctx, s) }, func(err error) bool {
		return tw.NotApplied(err) || errors.Is(err, run.ErrNotOwner)
	})
}

// cancelAndNote cancels the submission and notes when that was answered.
func (c *cluster) cancelAndNote(n int, path callerPath) error {
	err := c.call(n, path, func(ctx context.Context, r *queue.Router) error {
		return r.Cancel(ctx, member.SubmissionRequest{Pool: pool, ID: cancelledID})
	}, func(err error) bool { return errors.Is(err, run.ErrUnknownSubmission) })
	if !errors.Is(err, errNoAnswer) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancelledAt, c.answer = time.Now(), answeredCancelled
		if err != nil {
			c.answer = answeredUnknown
		}
	}
	return err
}

// entry is the daemon at which calls on a path begin: the first owner, or one that does not own the pool.
func (p callerPath) entry() int {
	if p == throughOwner {
		return 0
	}
	return 2
}

// start has the callers make their calls.
func (d cancelDay) start(c *cluster) *callers {
	kept, cancelled := submission(string(keptID), 1), submission(string(cancelledID), 2)
	cancelled.Steps[0].Estimate = time.Minute
	c.fleet.RegisterSubmission(&kept, nil)
	c.fleet.RegisterSubmission(&cancelled, nil)
	calls := &callers{keptDone: make(chan struct{}), posted: make(chan struct{}), cancelled: make(chan struct{})}
	c.loops.Go(func() {
		defer close(calls.keptDone)
		calls.keptErr = c.post(d.accept.entry(), d.accept, kept)
	})
	c.loops.Go(func() {
		defer close(calls.posted)
		calls.postErr = c.post(d.accept.entry(), d.accept, cancelled)
	})
	c.loops.Go(func() {
		defer close(calls.cancelled)
		if d.moment == whileStored {
			time.Sleep(time.Millisecond)
		} else {
			<-calls.posted
		}
		if d.moment == onceRunning {
			time.Sleep(700 * time.Millisecond)
		}
		calls.cancelledErr = c.cancelAndNote(d.cancel.entry(), d.cancel)
		if d.moment == repeated {
			time.Sleep(500 * time.Millisecond)
			_ = c.post(1, d.accept, cancelled)
		}
	})
	return calls
}

// play plays a day with faults.
func (d cancelDay) play(t *testing.T, planned map[protocolPoint][]fault) (result dayResult) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, planned)
		defer c.close()
		time.Sleep(500 * time.Millisecond)
		if d.slow {
			c.kv.SetFaults(standin.KVFaults{Slow: slowStoreTime})
		}
		calls := d.start(c)
		c.awaitQuiet(calls)
		c.changeOwners()
		c.checkCallers(calls)
		c.mu.Lock()
		defer c.mu.Unlock()
		result = dayResult{trace: slices.Clone(c.trace), struck: c.struck, broken: c.broken}
		for _, violation := range c.fleet.Violations() {
			result.broken = append(result.broken, "seen by a worker: "+violation)
		}
	})
	return result
}

// awaitQuiet waits until the disturbances and the calls are over and as much time has passed as a cancel
// may take.
func (c *cluster) awaitQuiet(calls *callers) {
	began := time.Now()
	for {
		time.Sleep(clusterTick)
		c.mu.Lock()
		quiet := time.Since(began)
		if c.disturbedUntil.After(began) {
			quiet = time.Since(c.disturbedUntil)
		}
		c.mu.Unlock()
		over := isClosed(calls.keptDone) && isClosed(calls.posted) && isClosed(calls.cancelled)
		if quiet > ackTime || over && quiet > cancelBound+stopTime+10*clusterTick {
			return
		}
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// changeOwners has one owner stopped and the next one killed.
func (c *cluster) changeOwners() {
	for _, end := range []func(d *clusterDaemon){c.stop, c.kill} {
		c.mu.Lock()
		c.lastPhase = true
		if c.owner != nil {
			end(c.owner)
		}
		c.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(cancelBound + stopTime)
}

// checkCallers checks the answers of a day against what is recorded.
func (c *cluster) checkCallers(calls *callers) {
	switch {
	case !isClosed(calls.cancelled), !isClosed(calls.posted), !isClosed(calls.keptDone):
		c.breaks("a call is not answered")
		return
	case calls.keptErr == nil && c.finalState(keptID, finishTime) != tw.SubmissionSucceeded:
		c.breaks("an accepted submission is not done")
	}
	if calls.cancelledErr == nil && c.finalState(cancelledID, 0) != tw.SubmissionCancelled {
		c.breaks("the end is not recorded")
	}
}

func (c *cluster) breaks(rule string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, rule)
}

// finalState returns the state in which a submission is recorded as ended, for which it waits.
func (c *cluster) finalState(id tw.SubmissionID, within time.Duration) tw.SubmissionState {
	for began := time.Now(); ; time.Sleep(clusterTick) {
		record, err := ledger.FindSubmission(c.ctx, c.kv, id)
		if err == nil && record.Final != "" || time.Since(began) >= within {
			return record.Final
		}
	}
}

// disturbUntil notes a disturbance. c.mu is held.
func (c *cluster) disturbUntil(until time.Time) {
	if until.After(c.disturbedUntil) {
		c.disturbedUntil = until
	}
}

// checkRuns checks that nothing runs of a submission that was cancelled, after a quiet time. c.mu is held.
func (c *cluster) checkRuns(now time.Time) {
	if c.cancelledAt.IsZero() || len(c.broken) > 0 {
		return
	}
	since := c.cancelledAt
	if c.disturbedUntil.After(since) {
		since = c.disturbedUntil
	}
	if now.Sub(since) > cancelBound+stopTime+clusterTick && c.fleet.SubmissionRuns(cancelledID) > 0 {
		c.broken = append(c.broken, "runs after its cancel, "+string(c.answer))
	}
}

// checkStart checks a start that a worker has carried out when it was sent.
func (c *cluster) checkStart(d *clusterDaemon, order tw.StartOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := tw.StartOrder{Subtask: order.Subtask, Run: order.Run}
	if order.Subtask.Submission != cancelledID || c.starts[key] {
		return
	}
	c.starts[key] = true
	now := time.Now()
	inTouch := now.Sub(d.disturbedUntil) > contactTime
	if !c.cancelledAt.IsZero() && (c.lastPhase || inTouch && now.Sub(c.cancelledAt) > cancelBound) {
		c.broken = append(c.broken, fmt.Sprintf("started by %s after its cancel, %s", d.id, c.answer))
	}
}
