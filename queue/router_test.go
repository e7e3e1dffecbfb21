package queue

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// noOwners implements Pools for a daemon that owns no pool.
type noOwners struct{}

func (noOwners) Local(tw.PoolID) *run.Owner { return nil }

// newTestRouter returns the router of a daemon that knows no pool owner.
func newTestRouter(t testing.TB) (r *Router, end func()) {
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	members, end := membertest.Start(t, kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
	r = RouterConfig{Pools: noOwners{}, Members: members, KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t)}.New()
	return r, end
}

// countCases are ages of the cached count, and whether it is still returned.
var countCases = map[string]struct {
	age      time.Duration
	returned bool
}{
	"a fresh count": {age: time.Second, returned: true},
	"an old count":  {age: 3 * time.Second},
	"no count":      {age: -1},
}

func TestWaitingIsNotTooOld(t *testing.T) {
	for name, c := range countCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter(t)
				defer end()
				if c.age >= 0 {
					r.counts["quick"] = waitingCount{count: 7, at: time.Now().Add(-c.age)}
				}
				count, err := r.Waiting(t.Context(), "p", "quick")
				if c.returned {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(count).To(Equal(7))
					return
				}
				g.Expect(err).To(MatchError(run.ErrNotOwner))
			})
		})
	}
}

// recordedStates are what is stored of a submission while its pool has no owner, and the state that is
// shown.
var recordedStates = map[string]struct {
	progress func(p *ledger.Progress)
	want     tw.SubmissionState
}{
	"nothing": {progress: func(*ledger.Progress) {}, want: tw.SubmissionWaiting},
	"starts that were counted before they were ordered": {progress: func(p *ledger.Progress) {
		step := p.Step(0, 0)
		step.Crashes = map[int]int{0: 1}
		step.PrecountedStarts = map[int][]ledger.PrecountedStart{0: {{Worker: "w1", Run: 20_000_001}}}
		step.UncountedStarts = map[int]bool{0: true}
	}, want: tw.SubmissionWaiting},
	"a worker that has ended": {progress: func(p *ledger.Progress) { p.Step(0, 0).Crashes = map[int]int{0: 1} }, want: tw.SubmissionStarted},
	"a subtask that is done":  {progress: func(p *ledger.Progress) { p.Step(0, 0).Done.Add(0) }, want: tw.SubmissionStarted},
	"a failed run":            {progress: func(p *ledger.Progress) { p.Step(0, 0).Failures = map[int][]tw.RunNumber{0: {1}} }, want: tw.SubmissionStarted},
	"a checkpoint":            {progress: func(p *ledger.Progress) { p.Step(0, 0).Checkpoints = map[int]tw.Checkpoint{0: "c"} }, want: tw.SubmissionStarted},
	"a finished repetition":   {progress: func(p *ledger.Progress) { p.Finished = 1 }, want: tw.SubmissionStarted},
}

// TestRecordedState guards against work that is shown as begun, as an owner has only recorded that it
// is about to start it.
func TestRecordedState(t *testing.T) {
	for name, c := range recordedStates {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter(t)
				defer end()
				s := &tw.Submission{ID: "s1", Policy: tw.RoutePolicy{Pool: "p"}}
				var progress ledger.Progress
				c.progress(&progress)
				puts := append(ledger.AcceptSubmission(s).Puts, ledger.SaveProgress("p", s.ID, &progress).Puts...)
				_, err := r.KV.Commit(t.Context(), tw.KVTxn{Puts: puts})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(r.State(t.Context(), member.SubmissionRequest{Pool: "p", ID: s.ID})).To(Equal(c.want))
			})
		})
	}
}
