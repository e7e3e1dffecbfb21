package run

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// TestWaitingCount checks after random changes of a step's subtasks that the number of waiting ones
// is that of a count, and that the step's group holds the subtasks that a visit of all finds.
func TestWaitingCount(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		o := waitingOwner(1)
		o.writer.confirmed = o.now.Add(time.Second)
		st := o.live["0000000000000001"].reps[0].steps[0]
		for range 60 {
			tk := st.tasks[random.IntN(len(st.tasks))]
			switch random.IntN(4) {
			case 0:
				tk.addRun(&runState{task: tk, w: &worker{entry: tw.WorkerEntry{ID: "w"}}})
			case 1:
				if tk.active() {
					tk.removeRun(tk.runs[random.IntN(len(tk.runs))])
				}
			case 2:
				tk.removeRun(&runState{})
			case 3:
				if !tk.done && random.IntN(3) == 0 {
					tk.setDone()
				}
			}
			waiting, all := 0, &schedule.Group{Step: st.spec}
			for _, tk := range st.tasks {
				if !tk.done && !tk.active() {
					waiting++
				}
			}
			g.Expect(st.waiting).To(Equal(waiting))
			o.fillGroup(st, all)
			found, _ := o.group(st)
			if len(all.Subtasks) == 0 {
				g.Expect(found).To(BeNil())
				continue
			}
			g.Expect(found.Subtasks).To(Equal(all.Subtasks))
		}
	}
}

// TestWaitingStepIsListedOnce checks that a placement pass allocates one group for each waiting step
// and lists none of its subtasks again, also after other steps' run times have been learned.
func TestWaitingStepIsListedOnce(t *testing.T) {
	g := NewWithT(t)
	allocations := func(submissions int) float64 {
		o := waitingOwner(submissions)
		key := estimateKeyOf(o.live["0000000000000001"].reps[0].steps[0])
		o.runTimes[key] = &schedule.RunTimes{}
		return testing.AllocsPerRun(20, func() {
			o.runTimes[key].Add(time.Second, time.Second)
			if groups, _ := o.groups(); len(groups) != submissions {
				t.Fatal(len(groups))
			}
		})
	}
	few, many := allocations(100), allocations(200)
	g.Expect(many-few).To(BeNumerically("<=", 2*100+4), "a group and the list that holds it")
}

// TestCachedEstimate checks that a cached run time is the one expected at present.
func TestCachedEstimate(t *testing.T) {
	g := NewWithT(t)
	o := waitingOwner(1)
	st := o.live["0000000000000001"].reps[0].steps[1]
	g.Expect(o.expectedRunTime(st)).To(Equal(time.Second))
	learned := &schedule.RunTimes{}
	o.runTimes[estimateKeyOf(st)] = learned
	g.Expect(o.expectedRunTime(st)).To(Equal(time.Second), "nothing is learned yet")
	for n := range 20 {
		learned.Add(time.Second, time.Duration(n+1)*time.Second)
		g.Expect(o.expectedRunTime(st)).To(Equal(learned.Expected(time.Second)))
		g.Expect(o.expectedRunTime(st)).To(Equal(learned.Expected(time.Second)))
	}
	st.totalRunTime, st.runTimeSamples = 6*time.Second, 2
	g.Expect(o.expectedRunTime(st)).To(Equal(3 * time.Second))
}

// TestExpiredSubmissionsAreDropped checks that of the ended submissions just those that ended long
// enough ago are dropped and deleted.
func TestExpiredSubmissionsAreDropped(t *testing.T) {
	g := NewWithT(t)
	o := waitingOwner(deleteExpiredAbove)
	o.bounds.KeepEnded = time.Minute
	began := o.now
	for n := range 100 {
		o.now = began.Add(time.Duration(n) * time.Second)
		sub := o.live[tw.SubmissionID(fmt.Sprintf("%016x", n+1))]
		sub.pendingFinal = tw.SubmissionSucceeded
		o.endRecorded(sub)
	}
	o.now = began.Add(time.Minute + retentionSlack + 10500*time.Millisecond)
	replaced := *o.submissions["0000000000000001"]
	o.submissions["0000000000000001"] = &replaced
	o.deleteExpired()
	g.Expect(o.writer.submissionsToDelete).To(HaveLen(10), "without one that has been replaced")
	g.Expect(o.writer.submissionsToDelete[0]).To(Equal(tw.SubmissionID("0000000000000002")))
	g.Expect(o.writer.submissionsToDelete[9]).To(Equal(tw.SubmissionID("000000000000000b")))
	g.Expect(o.submissions).To(HaveLen(deleteExpiredAbove - 10))
	o.deleteExpired()
	g.Expect(o.writer.submissionsToDelete).To(HaveLen(10))
	o.writer.submissionsToDelete = nil
	o.now = began.Add(time.Hour)
	o.deleteExpired()
	g.Expect(o.writer.submissionsToDelete).To(BeEmpty(), "few are left")
}

// TestReportedWork checks that a report adds up the waiting and the running subtasks.
func TestReportedWork(t *testing.T) {
	g := NewWithT(t)
	o := waitingOwner(3)
	w := &worker{runs: map[runKey]*runState{}, usage: usage{}, entry: tw.WorkerEntry{ID: "w", Capacity: tw.Resources{CPU: 16000, MemoryMB: 65536}}}
	o.workers["w"] = w
	st := o.live["0000000000000001"].reps[0].steps[0]
	need := st.spec.Reservation()
	for _, tk := range st.tasks[:3] {
		r := &runState{task: tk, w: w, reservation: need}
		tk.addRun(r)
		w.add(r)
	}
	st.tasks[7].setDone()
	o.live["0000000000000002"].ahead = time.Second
	out := o.report()
	g.Expect(out.Running).To(Equal(need.Times(3)))
	g.Expect(out.Waiting).To(Equal(need.Times(4 + 8)))
	g.Expect(out.Late).To(Equal(need.Times(8)))
	g.Expect(out.LongRunning).To(BeZero())
}

// TestCountersWithoutAllocation checks that counters with a label are counted under their names, and
// that counting one again allocates nothing.
func TestCountersWithoutAllocation(t *testing.T) {
	g := NewWithT(t)
	set := agecheck.Metrics(t)
	m := newOwnerMetrics(set, "checks")
	m.started("started")
	m.started("outdated")
	m.endedRun(tw.EndDone)
	g.Expect(testing.AllocsPerRun(10, func() { m.started("started") })).To(BeZero())
	g.Expect(set.GetOrCreateCounter(`tamarind_starts_total{pool="checks",outcome="started"}`).Get()).To(Equal(uint64(12)))
	g.Expect(set.GetOrCreateCounter(`tamarind_starts_total{pool="checks",outcome="outdated"}`).Get()).To(Equal(uint64(1)))
	g.Expect(set.GetOrCreateCounter(`tamarind_run_ends_total{pool="checks",kind="done"}`).Get()).To(Equal(uint64(1)))
}

// TestCappedOrganisationsAreKept checks that the capped organisations are collected once for each
// configuration.
func TestCappedOrganisationsAreKept(t *testing.T) {
	g := NewWithT(t)
	limit := tw.Resources{CPU: 1000}
	config := &tw.QueueConfig{
		Organisations: []tw.Organisation{{ID: "free"}, {ID: "red", UsageCap: limit}},
		Pools:         []tw.QueuePool{{ID: "a"}, {ID: "b"}, {ID: "parking", Parking: true}},
	}
	c := &caps{config: func() *tw.QueueConfig { return config }}
	g.Expect(c.organisations()).To(HaveLen(1))
	g.Expect(c.organisations()[0].ID).To(Equal(tw.OrganisationID("red")))
	g.Expect(c.floors()).To(Equal(map[tw.PoolID]ledger.ShareUnits{"a": ledger.CapUnits / 8, "b": ledger.CapUnits / 8}))
	g.Expect(testing.AllocsPerRun(10, func() { c.organisations(); c.floors() })).To(BeZero())
	config = &tw.QueueConfig{Organisations: []tw.Organisation{{ID: "blue", UsageCap: limit}, {ID: "red", UsageCap: limit}}}
	g.Expect(c.organisations()).To(HaveLen(2))
	g.Expect(c.floors()).To(BeEmpty())
	config = nil
	g.Expect(c.organisations()).To(BeEmpty())
}
