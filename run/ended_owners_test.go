package run_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// endPoint is a point of a start at which an owner's process ends.
	endPoint int

	// process is an owner's connection to the store and to the workers. It ends at an endPoint, as
	// that of a killed process does: nothing more is sent, and no answer arrives.
	process struct {
		tw.KV
		tw.WorkerOrders
		// end is an endPoint.
		end atomic.Int32
		// planned: the owner is told to stop at that point, and its calls go on.
		planned bool
		// delays are the random times that writes take to reach the store, so that concurrent
		// writes arrive in any order; nil for none.
		delays   *rand.Rand
		delaysMu sync.Mutex
		// reached is closed at the point.
		reached chan struct{}
		once    sync.Once
		dead    atomic.Bool
	}
)

const (
	// writeSent: the write before the start is sent, and is not applied.
	writeSent endPoint = iota
	// writeDone: the write is applied, and its answer is not read.
	writeDone
	// startSent: the order is sent, and does not reach the worker.
	startSent
	// startDone: the worker has carried the order out, and its answer is not read.
	startDone
	// answerRead: the answer to the order is read.
	answerRead
	// messageRemoved: a write that removes a message from the inbox is applied, and its answer is not
	// read.
	messageRemoved
	// nowhere: the process ends only when it is killed.
	nowhere
)

// maxWriteDelay is five times the time from which the store counts as slow.
const maxWriteDelay = 400 * time.Millisecond

// ownersInARow is twice the number of workers in a row under which a subtask is given up.
const ownersInARow = 10

func newProcess(r *rig, end endPoint, planned bool) *process {
	p := &process{KV: r.kv, WorkerOrders: r.fleet, planned: planned, reached: make(chan struct{})}
	p.end.Store(int32(end))
	return p
}

// kill ends the process where it is.
func (p *process) kill() { p.dead.Store(true) }

// pass is called at each point. It returns false if the process has ended.
func (p *process) pass(at endPoint) bool {
	if p.dead.Load() {
		return false
	}
	if at != endPoint(p.end.Load()) {
		return true
	}
	p.once.Do(func() {
		p.dead.Store(!p.planned)
		close(p.reached)
	})
	if p.planned {
		time.Sleep(50 * time.Millisecond) // the stop begins during the call
	}
	return p.planned
}

// unanswered waits until the owner gives the call up.
func unanswered(ctx context.Context) error {
	<-ctx.Done()
	return tw.ErrAmbiguous
}

// Commit implements tw.KV.
func (p *process) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	time.Sleep(p.delay())
	if p.dead.Load() {
		return 0, unanswered(ctx)
	}
	if removesMessage(txn) {
		revision, err := p.KV.Commit(ctx, txn)
		if !p.pass(messageRemoved) {
			return 0, unanswered(ctx)
		}
		return revision, err
	}
	if !savesProgress(txn) {
		return p.KV.Commit(ctx, txn)
	}
	if !p.pass(writeSent) {
		return 0, unanswered(ctx)
	}
	revision, err := p.KV.Commit(ctx, txn)
	if !p.pass(writeDone) {
		return 0, unanswered(ctx)
	}
	return revision, err
}

func savesProgress(txn tw.KVTxn) bool {
	return slices.ContainsFunc(txn.Puts, func(put tw.KVPut) bool { return strings.HasPrefix(string(put.Key), "tw/progress/") })
}

// delay returns how long the next write takes to reach the store.
func (p *process) delay() time.Duration {
	p.delaysMu.Lock()
	defer p.delaysMu.Unlock()
	if p.delays == nil {
		return 0
	}
	return time.Duration(p.delays.Int64N(int64(maxWriteDelay)))
}

func removesMessage(txn tw.KVTxn) bool {
	return slices.ContainsFunc(txn.Removes, func(key tw.Key) bool { return strings.HasPrefix(string(key), "tw/inbox/") })
}

// Start implements tw.WorkerOrders.
func (p *process) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	if !p.pass(startSent) {
		return 0, unanswered(ctx)
	}
	clock, err := p.WorkerOrders.Start(ctx, to, order)
	if !p.pass(startDone) {
		return 0, unanswered(ctx)
	}
	if endPoint(p.end.Load()) == answerRead {
		time.AfterFunc(time.Millisecond, func() { p.pass(answerRead) }) // the owner has handled the answer by then
	}
	return clock, err
}

// Stop implements tw.WorkerOrders.
func (p *process) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	if p.dead.Load() {
		return 0, unanswered(ctx)
	}
	return p.WorkerOrders.Stop(ctx, to, order)
}

// Hold implements tw.WorkerOrders.
func (p *process) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	if p.dead.Load() {
		return tw.HoldReport{}, unanswered(ctx)
	}
	return p.WorkerOrders.Hold(ctx, to, order)
}

// endOwners gives the pool owners one after the other, each of which ends at a point. It returns
// how many have reached it.
func (r *rig) endOwners(end endPoint, planned bool) (reached int) {
	for n := range ownersInARow {
		p := newProcess(r, end, planned)
		o := r.newOwnerWith(tw.DaemonID(fmt.Sprint("ended", n)), p, p)
		r.runWithReboots(o, 3*time.Second, func() bool {
			select {
			case <-p.reached:
				reached++
				return true
			default:
				return r.state(o, "s1").Final() || r.isLongRunning("s1")
			}
		})
		if planned {
			o.Drain(r.ctx)
		} else {
			o.Close()
		}
	}
	return reached
}

// isLongRunning reports whether both long-running subtasks of a submission are ready.
func (r *rig) isLongRunning(id string) bool {
	return r.fleet.Ready(subtask(id, 0, 0)) && r.fleet.Ready(subtask(id, 0, 1))
}

// storeAccepted stores a submission that an owner has accepted, which then ended.
func (r *rig) storeAccepted(s tw.Submission) {
	_, err := r.kv.Commit(r.ctx, tw.KVTxn{Puts: ledger.AcceptSubmission(&s).Puts})
	r.Expect(err).NotTo(HaveOccurred())
}

// endedOwnerWork is work of each kind that is started in its own way.
var endedOwnerWork = map[string]func() tw.Submission{
	"plain": func() tw.Submission { return submission("s1", 3, 1) },
	"gang": func() tw.Submission {
		s := submission("s1", 3)
		s.Steps[0].Gang = true
		return s
	},
	"with copies": func() tw.Submission {
		s := submission("s1", 2)
		s.Steps[0].AllowCopies = true
		return s
	},
	"repeated": func() tw.Submission {
		s := submission("s1", 2)
		s.Schedule = tw.Schedule{First: time.Now(), Interval: time.Second, Times: 3}
		return s
	},
	"filler": func() tw.Submission {
		s := submission("s1", 2)
		s.Steps[0].Filler = true
		return s
	},
	"long-running": func() tw.Submission { return longRunning("s1", 2) },
}

// TestEndedOwnersGiveNothingUp guards against work that is given up although none of its workers has
// ended: an owner counts a start as a crash before it orders it, and one owner after the other ended
// before that order or before its outcome was recorded.
func TestEndedOwnersGiveNothingUp(t *testing.T) {
	t.Parallel()
	points := map[string]endPoint{
		"write sent": writeSent, "write done": writeDone, "order sent": startSent, "order done": startDone, "answer read": answerRead,
	}
	for kind, work := range endedOwnerWork {
		for name, end := range points {
			for manner, planned := range map[string]bool{"killed": false, "stopped": true} {
				runCase(t, kind+", "+manner+", "+name, 4, func(r *rig) {
					s := work()
					r.fleet.RegisterSubmission(&s, nil)
					r.storeAccepted(s)
					reached := r.endOwners(end, planned)
					r.Expect(reached).To(BeNumerically(">", 0))
					if end == writeSent || end == writeDone && !planned {
						r.Expect(reached).To(Equal(ownersInARow))
						r.Expect(r.fleet.Starts()).To(BeZero())
					}
					o := r.newOwner("last")
					r.runWithReboots(o, 20*time.Second, func() bool {
						return r.state(o, "s1").Final() || kind == "long-running" && r.isLongRunning("s1")
					})
					r.Expect(r.state(o, "s1")).NotTo(Equal(tw.SubmissionFailed))
					r.expectNoViolations()
				})
			}
		}
	}
}

// TestEndedOwnersBoundCrashes guards against endless starts of a subtask that crashes its workers,
// as each owner ends before it can record that.
func TestEndedOwnersBoundCrashes(t *testing.T) {
	t.Parallel()
	for kind, work := range endedOwnerWork {
		for name, end := range map[string]endPoint{"order done": startDone, "answer read": answerRead} {
			runCase(t, kind+", "+name, 8, func(r *rig) {
				s := work()
				r.fleet.RegisterSubmission(&s, func(_ tw.SubtaskID, p *standin.Profile) { p.Crashes = true })
				r.storeAccepted(s)
				r.endOwners(end, false)
				o := r.newOwner("last")
				r.runWithReboots(o, 30*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
				r.expectNoViolations()
			})
		}
	}
}

// TestEndedWorkersThatSurvivedTheStart guards against work that is given up as workers have ended by
// themselves, each after it had shown a new owner that it had survived the start, or never got it.
func TestEndedWorkersThatSurvivedTheStart(t *testing.T) {
	runCase(t, "", 10, func(r *rig) {
		s := submission("s1", 1)
		r.fleet.RegisterSubmission(&s, nil)
		r.storeAccepted(s)
		silent := workerID(9) // it keeps inherited work waiting
		for n := range 6 {
			p := newProcess(r, writeDone, false)
			o := r.newOwnerWith(tw.DaemonID(fmt.Sprint("ended", n)), p, p)
			time.Sleep(200 * time.Millisecond) // all other workers have answered
			if n > 0 {
				r.fleet.Crash(r.precountedOn("s1"))
				r.rebootCrashed(o)
			}
			r.fleet.UpdateWorker(silent, func(w *standin.SimWorker) { w.Silent = false })
			r.runWithReboots(o, 3*time.Second, func() bool {
				select {
				case <-p.reached:
					return true
				default:
					return r.state(o, "s1").Final()
				}
			})
			o.Close()
			r.fleet.UpdateWorker(silent, func(w *standin.SimWorker) { w.Silent = true })
		}
		r.fleet.UpdateWorker(silent, func(w *standin.SimWorker) { w.Silent = false })
		o := r.newOwner("last")
		r.runWithReboots(o, 10*time.Second, func() bool { return r.state(o, "s1").Final() })
		r.Expect(r.state(o, "s1")).To(Equal(tw.SubmissionSucceeded))
	})
}

// precountedOn returns the worker that was to get the last recorded start of a submission's first
// subtask.
func (r *rig) precountedOn(id tw.SubmissionID) tw.WorkerID {
	progress, err := ledger.FindProgress(r.ctx, r.kv, pool, id)
	r.Expect(err).NotTo(HaveOccurred())
	starts := progress.Step(0, 0).PrecountedStarts[0]
	r.Expect(starts).NotTo(BeEmpty())
	return starts[len(starts)-1].Worker
}
