package run_test

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// protocolStep is a step of the protocol by which a submission is accepted, started, cancelled and ended.
	protocolStep string

	// protocolPoint is the nth time that a step is made, from 1 on.
	protocolPoint struct {
		step protocolStep
		n    int
	}

	// tracedPoint is a point that was reached. byOwner: the pool's owner made the call.
	tracedPoint struct {
		protocolPoint
		byOwner bool
	}

	// callFault is what becomes of a call.
	callFault int

	// fault is a fault that strikes at a point.
	fault struct {
		name string
		// call is what becomes of the call, late how late it is carried out.
		call callFault
		late time.Duration
		// strike is what happens to the daemon that makes the call, or with atOwner to the pool's owner;
		// nil for nothing. after: it happens once the call is carried out, before the answer is read.
		strike         func(c *cluster, d *clusterDaemon)
		after, atOwner bool
		// basic faults are those of which pairs are tried.
		basic bool
	}
)

const (
	stepTake   protocolStep = "take the pool"
	stepLoad   protocolStep = "load the submissions"
	stepInbox  protocolStep = "read the inbox"
	stepAccept protocolStep = "accept"
	stepLeave  protocolStep = "accept through the store"
	stepFind   protocolStep = "look up"
	stepCancel protocolStep = "cancel in the store"
	stepNotice protocolStep = "watch brings a notice"
	stepSave   protocolStep = "save progress"
	stepEnd    protocolStep = "record the end"
	stepRemove protocolStep = "remove the notice of a cancel"
	stepBegin  protocolStep = "remove the notice of a submission"
	stepStart  protocolStep = "start"
	stepStop   protocolStep = "stop"

	// maxOccurrences bounds the times that one step is struck.
	maxOccurrences = 2

	// unansweredTime is how long callers of the store and of workers wait for an answer.
	unansweredTime = time.Second
)

const (
	callDone callFault = iota
	// callRefused: it is certainly not carried out.
	callRefused
	// callLost: it is not carried out and not answered.
	callLost
	// callUnanswered: it is carried out and not answered.
	callUnanswered
	// callLate: it is not answered and carried out later.
	callLate
)

// protocolFaults are the faults that are tried at each point.
func protocolFaults() []fault {
	out := []fault{
		{name: "refused", call: callRefused},
		{name: "lost", call: callLost},
		{name: "not answered", call: callUnanswered, basic: true},
		{name: "taken over", strike: func(c *cluster, _ *clusterDaemon) { c.takeoverWanted = true }, basic: true},
	}
	for _, late := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
		out = append(out, fault{name: fmt.Sprint("done late by ", late), call: callLate, late: late, basic: late == 3*time.Second})
	}
	for _, after := range []bool{false, true} {
		moment := map[bool]string{false: "before", true: "after"}[after]
		for _, f := range storeFaults() {
			f.name, f.after = f.name+" "+moment, after
			out = append(out, f)
		}
		for _, atOwner := range []bool{false, true} {
			for _, f := range daemonFaults() {
				f.after, f.atOwner = after, atOwner
				f.name = fmt.Sprintf("%s %s %s", map[bool]string{false: "caller", true: "owner"}[atOwner], f.name, moment)
				f.basic = f.basic && (after || !atOwner)
				out = append(out, f)
			}
		}
	}
	return out
}

// storeFaults are the faults of the store.
func storeFaults() []fault {
	out := []fault{{name: "history forgotten", strike: func(c *cluster, _ *clusterDaemon) { c.kv.CompactHistory() }}}
	for _, length := range []time.Duration{1500 * time.Millisecond, 5 * time.Second} {
		out = append(out, fault{name: fmt.Sprint("all cut off from the store for ", length), basic: length > leaseTime, strike: func(c *cluster, _ *clusterDaemon) {
			for _, d := range c.daemons {
				d.cutUntil[toStore] = time.Now().Add(length)
				d.awayUntil(d.cutUntil[toStore])
			}
		}})
	}
	return out
}

// daemonFaults are the faults of a daemon and its links.
func daemonFaults() []fault {
	out := []fault{
		{name: "killed", strike: func(c *cluster, d *clusterDaemon) { c.kill(d) }, basic: true},
		{name: "stopped", strike: func(c *cluster, d *clusterDaemon) { c.stop(d) }, basic: true},
		{name: "killed, with the notices removed", strike: (*cluster).endOlderOwner, basic: true},
	}
	for _, length := range []time.Duration{1500 * time.Millisecond, 5 * time.Second} {
		long := length > leaseTime
		out = append(out, fault{name: fmt.Sprint("paused for ", length), basic: long, strike: func(_ *cluster, d *clusterDaemon) {
			d.pausedUntil = time.Now().Add(length)
			d.awayUntil(d.pausedUntil)
		}})
		for _, l := range []link{toStore, toWorkers, toDaemons} {
			out = append(out, fault{name: fmt.Sprintf("cut off from %s for %v", l, length), basic: long && l == toStore, strike: func(_ *cluster, d *clusterDaemon) {
				d.cutUntil[l] = time.Now().Add(length)
				d.awayUntil(d.cutUntil[l])
			}})
		}
	}
	return out
}

// endOlderOwner ends a process as one of an older version, which removes the notices of a cancel while it
// owns the pool, as it knows of it. c.mu is held.
func (c *cluster) endOlderOwner(d *clusterDaemon) {
	if d == c.owner && !d.dead && !c.taking {
		notice := ledger.InboxKey(pool, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: cancelledID})
		c.kv.Remove(notice)
		c.kv.Remove(notice + ".kept")
	}
	c.kill(d)
}

// awayUntil notes a disturbance of a daemon. c.mu is held.
func (d *clusterDaemon) awayUntil(until time.Time) {
	d.awaySince = time.Now()
	d.disturbedUntil = until
	d.c.disturbUntil(until)
}

// reach notes that a daemon makes steps of the protocol. It strikes the faults that come before the call
// and returns what becomes of the call, and the strikes that come after it.
func (c *cluster) reach(d *clusterDaemon, steps []protocolStep) (call fault, after []func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.dead || c.lastPhase {
		return fault{}, nil
	}
	for _, step := range steps {
		c.made[step]++
		at := protocolPoint{step: step, n: c.made[step]}
		if at.n > maxOccurrences {
			continue
		}
		c.trace = append(c.trace, tracedPoint{protocolPoint: at, byOwner: d == c.owner})
		for _, f := range c.planned[at] {
			c.struck++
			if f.call != callDone {
				call = f
				c.disturbUntil(time.Now().Add(f.late))
			}
			target := d
			if f.atOwner {
				target = c.owner
			}
			if f.strike == nil || target == nil || target.dead {
				continue
			}
			if !f.after {
				f.strike(c, target)
				continue
			}
			after = append(after, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				f.strike(c, target)
			})
		}
	}
	return call, after
}

// through makes a call of a daemon through a link, with the faults planned for it.
func through[T any](ctx context.Context, d *clusterDaemon, l link, steps []protocolStep, do func(ctx context.Context) (T, error)) (T, error) {
	var none T
	call, after := d.c.reach(d, steps)
	if !d.reaches(ctx, l) {
		return none, noAnswer(ctx)
	}
	switch call.call {
	case callRefused:
		return none, errors.Wrap(tw.ErrUnavailable, "refused")
	case callLost:
		return none, noAnswer(ctx)
	case callLate:
		late, end := context.WithCancel(context.Background())
		time.AfterFunc(call.late, func() {
			defer end()
			_, _ = do(late)
		})
		return none, noAnswer(ctx)
	}
	value, err := do(ctx)
	for _, strike := range after {
		strike()
	}
	if call.call == callUnanswered || !d.reaches(ctx, l) {
		return none, noAnswer(ctx)
	}
	return value, err
}

// noAnswer waits as long as the caller of an unanswered call.
func noAnswer(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(unansweredTime):
	}
	return fmt.Errorf("no answer: %w: %w", tw.ErrAmbiguous, context.DeadlineExceeded)
}
