package run_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/run"
)

// A subtask may crash each worker that starts it. The owner forgot its runs together
// with the worker that had ended, and started the subtask again as soon as another one
// had room, with no end: one was still started six times in two seconds 118 s after the
// third worker had crashed under it, and took with it what ran beside. As all that a
// worker had lost was placed again together, the innocent went on from crash to crash in
// the same company. From the owner's log, in seconds:
//
//	11.610 run: ordered  the subtask and nine others, on the first worker
//	11.729 worker: ended the first worker, its machine is down, runs 22
//	11.870 run: ordered  the subtask and the same nine, on the second worker
//	12.158 worker: ended the second worker, its machine is down, runs 23
var crashCases = map[string]func(r *rig){
	"gives up a subtask that brings its workers down": func(r *rig) {
		o := r.take("a")
		r.poison(o, submission("s1", 3), 0)
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
		r.Expect(r.fleet.CrashesUnder(subtask("s1", 0, 0))).To(BeNumerically("<=", 4))
	},
	"gives up a lasting one": func(r *rig) {
		o := r.take("a")
		r.poison(o, lasting("s1", 2), 1)
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
	},
	"gives up a gang of which one member does": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 3)
		s.Steps[0].Gang = true
		r.poison(o, s, 2)
		r.nurse(o, 30*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
	},
	"gives up one of which copies may run": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 2)
		s.Steps[0].AllowCopies = true
		r.poison(o, s, 0)
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
	},
	// A suspect whose worker has not been heard of since was copied after a second, beside the
	// run that might bring that worker down; at the highest count the copy's start was not
	// counted any more, so that the third start after the third crash was made:
	//
	//	30.594  run: ordered                    0.0.0 on w107, the fifth start
	//	32.010  run: ordered                    0.0.0 on reborn22, the sixth
	//	32.015  run: may have ended its worker  0.0.0 on w107, workers 5
	"starts no copy of a suspect before it is cleared": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 1)
		s.Steps[0].AllowCopies = true
		s.Steps[0].Estimate = 600 * time.Millisecond
		running := func() []tw.WorkerID { return r.fleet.RunningOn(subtask("s1", 0, 0)) }
		r.submit(o, s)
		r.nurse(o, time.Second, func() bool { return len(running()) > 0 })
		r.fleet.Crash(running()[0])
		r.nurse(o, 10*time.Second, func() bool { return len(running()) > 0 })
		silent := running()[0]
		r.fleet.Set(silent, func(w *standin.SimWorker) { w.Silent = true })
		r.nurse(o, 2500*time.Millisecond, nil)
		r.Expect(r.fleet.Starts()).To(Equal(2))
		r.fleet.Set(silent, func(w *standin.SimWorker) { w.Silent = false })
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionSucceeded })
	},
	"gives it up over takeovers": func(r *rig) {
		o := r.take("a")
		r.poison(o, submission("s1", 1), 0)
		for n := range 4 {
			crashes := r.fleet.CrashesUnder(subtask("s1", 0, 0))
			r.nurse(o, 10*time.Second, func() bool {
				return r.state(o, "s1") == tw.SubmissionFailed || r.fleet.CrashesUnder(subtask("s1", 0, 0)) > crashes
			})
			r.nurse(o, 500*time.Millisecond, nil) // what it knows is recorded by then
			o.Close()
			o = r.take(tw.DaemonID(fmt.Sprint("b", n)))
		}
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
	},
	"gives it up while the list of machines is not readable": func(r *rig) {
		o := r.take("a")
		time.Sleep(settled)
		r.cloud.SetDown(true)
		r.poison(o, submission("s1", 1), 0)
		r.nurse(o, time.Minute, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
	},
	"lets what ran beside it go on": func(r *rig) {
		o := r.take("a")
		for n := range 4 {
			r.submit(o, submission(fmt.Sprint("beside", n), 3))
		}
		r.poison(o, submission("s1", 2), 0)
		for n := range 4 {
			r.submit(o, submission(fmt.Sprint("later", n), 3))
		}
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionFailed })
		for n := range 4 {
			r.nurse(o, 20*time.Second, func() bool {
				return r.state(o, tw.SubmissionID(fmt.Sprint("beside", n))) == tw.SubmissionSucceeded &&
					r.state(o, tw.SubmissionID(fmt.Sprint("later", n))) == tw.SubmissionSucceeded
			})
		}
	},
	"gives up each of several": func(r *rig) {
		o := r.take("a")
		for n := range 5 {
			r.poison(o, submission(fmt.Sprint("s", n), 2), n%2)
			r.submit(o, submission(fmt.Sprint("t", n), 2))
		}
		for n := range 5 {
			r.nurse(o, time.Minute, func() bool {
				return r.state(o, tw.SubmissionID(fmt.Sprint("s", n))) == tw.SubmissionFailed &&
					r.state(o, tw.SubmissionID(fmt.Sprint("t", n))) == tw.SubmissionSucceeded
			})
		}
	},
	// Workers that nothing runs on are not looked at. Those that lay dead were taken one
	// after the other for brought down by the subtask that was ordered there, and its
	// submission was ended as failed:
	//
	//	11.519 run: ordered                   worker_seen 1.47
	//	11.719 run: start not confirmed       context deadline exceeded
	//	11.760 run: may have ended its worker workers 1, last answer 1.71 before
	//	12.456 submission: ends               failed, the third worker on which it never was
	"does not blame a subtask for workers that were dead before": func(r *rig) {
		for n := range 4 {
			r.addWorker(4 + n)
		}
		o := r.take("a")
		time.Sleep(settled)
		for n := range 6 {
			r.fleet.Kill(workerID(n))
			r.cloud.Add(tw.Machine{ID: r.list[workerID(n)].Instance, Pool: pool, State: tw.MachineDown})
		}
		r.submit(o, submission("s1", 2))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 20*time.Second)
	},
	// A subtask that stands still on whatever worker it is on is not a fault of these: each
	// one was kept without work for 4 s after it, one after the other.
	"goes on giving work to workers on which one subtask stands still": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 1)
		r.fleet.Expect(&s, func(_ tw.SubtaskID, p *standin.Profile) { p.Hangs = true })
		r.Expect(o.Submit(r.ctx, s)).To(Succeed())
		most := 0
		for range 150 {
			time.Sleep(200 * time.Millisecond)
			report, err := o.Report(r.ctx, run.Directions{})
			r.Expect(err).NotTo(HaveOccurred())
			unsound := 0
			for _, w := range report.Workers {
				if !w.Schedulable {
					unsound++
				}
			}
			most = max(most, unsound)
		}
		r.Expect(most).To(BeNumerically("<=", 1))
	},
	"does not give up work that workers crash under by chance": func(r *rig) {
		o := r.take("a")
		s := submission("s1", 1)
		s.Steps[0].Estimate = 2 * time.Second
		r.submit(o, s)
		r.submit(o, lasting("s2", 1))
		for range 8 {
			r.nurse(o, 900*time.Millisecond, nil)
			for _, id := range []string{"s1", "s2"} {
				for _, w := range r.fleet.RunningOn(subtask(id, 0, 0)) {
					r.fleet.Crash(w)
				}
			}
		}
		r.nurse(o, 20*time.Second, func() bool { return r.state(o, "s1") == tw.SubmissionSucceeded })
		r.Expect(r.state(o, "s2")).To(Equal(tw.SubmissionStarted))
		r.Expect(r.fleet.Running(subtask("s2", 0, 0))).To(Equal(1))
	},
}

// rebootTime is how long a machine takes to run a worker again after a crash.
const rebootTime = 3 * time.Second

func TestCrashes(t *testing.T) { playCases(t, crashCases) }

// poison hands in a submission of which one subtask of the first step crashes the
// workers that start it.
func (r *rig) poison(o *run.Owner, s tw.Submission, index int) {
	r.fleet.Expect(&s, func(id tw.SubtaskID, p *standin.Profile) { p.Crashes = id.Step == 0 && id.Index == index })
	r.Expect(o.Submit(r.ctx, s)).To(Succeed())
}

// nurse has machines whose workers have crashed run new ones, until a condition holds; it
// must hold in time. Without a condition it does so for as long.
func (r *rig) nurse(o *run.Owner, within time.Duration, until func() bool) {
	r.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.tend(o)
		if until != nil && until() {
			return
		}
	}
	r.Expect(until).To(BeNil(), "the condition did not hold in time")
}

// tend takes a step of nurse.
func (r *rig) tend(o *run.Owner) {
	for _, entry := range r.fleet.Crashed() {
		r.cloud.Add(tw.Machine{ID: entry.Instance, Pool: pool, State: tw.MachineDown})
		delete(r.list, entry.ID)
		r.reboots = append(r.reboots, reboot{entry: entry, at: time.Now().Add(rebootTime)})
		r.feed(o)
	}
	for len(r.reboots) > 0 && !time.Now().Before(r.reboots[0].at) {
		next := r.reboots[0].entry
		r.reboots = r.reboots[1:]
		r.booted++
		next.ID = tw.WorkerID(fmt.Sprint("reborn", r.booted))
		r.fleet.Add(next)
		r.runs(next)
		r.relist(o, next)
		if r.rebooted != nil {
			r.rebooted(next)
		}
	}
}
