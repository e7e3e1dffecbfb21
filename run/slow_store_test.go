package run_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// slowStoreCases cover work that must go on while the store takes up to 5 s for a write.
var slowStoreCases = map[string]struct {
	workers int
	do      func(r *rig)
}{
	"uses the capacity of ended runs that are not recorded yet": {workers: 1, do: func(r *rig) {
		o := r.newOwner("a")
		first, second := submission("00000000000000aa", 4), submission("00000000000000ab", 4)
		r.fleet.RegisterSubmission(&first, func(id tw.SubtaskID, p *standin.Profile) {
			p.Duration = time.Duration(1+id.Index) * 300 * time.Millisecond
		})
		r.fleet.RegisterSubmission(&second, nil)
		r.Expect(o.Submit(r.ctx, first)).To(Succeed())
		r.Expect(o.Submit(r.ctx, second)).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(4))
		r.kv.SetFaults(standin.KVFaults{Slow: 5 * time.Second})
		time.Sleep(1700 * time.Millisecond)
		r.Expect(r.fleet.Starts()).To(Equal(8))
	}},
	"ends are written before progress": {workers: 70, do: func(r *rig) {
		o := r.newOwner("a")
		const submissions, shorts, runTime, writeTime = 200, 5, 4 * time.Second, 700 * time.Millisecond
		// Workers with unrecorded ends are polled every 0.4 s. One write may be in flight then, and
		// the next one has the ends.
		const recordTime = 500*time.Millisecond + 2*writeTime
		began := time.Now()
		for n := range submissions {
			// The first of two steps ends, so progress has to be written.
			s := submission(fmt.Sprintf("%016x", n), 1, 1)
			s.Steps[0].Estimate, s.Steps[1].Estimate = runTime, 20*time.Second
			r.submit(o, s)
		}
		for n := range shorts {
			short := submission(fmt.Sprintf("e%015x", n), 1)
			short.Steps[0].Estimate = runTime
			r.submit(o, short)
		}
		last := time.Now()
		r.Expect(last.Sub(began)).To(BeNumerically("<", runTime))
		r.kv.SetFaults(standin.KVFaults{Slow: writeTime})
		time.Sleep(runTime + recordTime)
		for n := range shorts {
			r.Expect(r.state(o, tw.SubmissionID(fmt.Sprintf("e%015x", n)))).To(Equal(tw.SubmissionSucceeded))
		}
	}},
}

// TestPeakLoadInSlowStore runs the peak load of a pool, 150 submissions a second for 2 s, while the
// store takes 0.26 s for each call. Without concurrent writes half of the submissions are answered
// after 1.96 s and the last after 3.6 s, with them after 0.30 s and 0.42 s.
func TestPeakLoadInSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 60)
		defer r.end()
		o := r.newOwner("a")
		const rate, seconds = 150, 2
		r.kv.SetFaults(standin.KVFaults{Slow: 260 * time.Millisecond})
		var wg sync.WaitGroup
		answers := make([]time.Duration, rate*seconds)
		for n := range answers {
			s := submission(fmt.Sprintf("%016x", n), 1)
			s.Steps[0].Estimate = 300 * time.Millisecond
			r.fleet.RegisterSubmission(&s, nil)
			wg.Go(func() {
				sent := time.Now()
				if err := o.Submit(r.ctx, s); err != nil {
					t.Error(err)
				}
				answers[n] = time.Since(sent)
			})
			time.Sleep(time.Second / rate)
		}
		wg.Wait()
		slices.Sort(answers)
		t.Log("half answered after", answers[len(answers)/2], "the last after", answers[len(answers)-1])
		r.Expect(answers[len(answers)-1]).To(BeNumerically("<", 700*time.Millisecond))
		time.Sleep(2 * time.Second)
		for n := range answers {
			r.Expect(r.state(o, tw.SubmissionID(fmt.Sprintf("%016x", n)))).To(Equal(tw.SubmissionSucceeded))
		}
		r.expectNoViolations()
	})
}

// TestSubmissionBurst checks that full batches are written one after the other without a pause.
func TestSubmissionBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		defer r.end()
		o := r.newOwner("a")
		const submissions = 150
		began := time.Now()
		var wg sync.WaitGroup
		for n := range submissions {
			s := submission(fmt.Sprintf("%016x", n), 1)
			r.fleet.RegisterSubmission(&s, nil)
			wg.Go(func() {
				if err := o.Submit(r.ctx, s); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		r.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})
}

func TestSlowStore(t *testing.T) {
	for name, c := range slowStoreCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, c.workers)
				defer r.end()
				c.do(r)
				r.expectNoViolations()
			})
		})
	}
}
