package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// partitionableList is an instance list that can be made unavailable.
type partitionableList struct {
	tw.InstanceList
	unavailable atomic.Bool
}

func (l *partitionableList) List(ctx context.Context, hall tw.HallID, seen uint64) (tw.InstanceSnapshot, error) {
	if l.unavailable.Load() {
		return tw.InstanceSnapshot{}, tw.ErrUnavailable
	}
	return l.InstanceList.List(ctx, hall, seen)
}

// absenceBed is a hall whose planner, d1, loses contact with the daemon d2.
type absenceBed struct {
	bed       *testBed
	list      *partitionableList
	store     *partitionableStore // d2's store
	d2        *Node               // the first incarnation of d2
	restarted *Node               // the next incarnation of d2, or nil
}

// setIsolated isolates d2 from the other daemons and the store, or ends the isolation.
func (a *absenceBed) setIsolated(isolated bool) {
	a.bed.network.setIsolated("d2", isolated)
	a.store.setUnavailable(isolated)
}

// kill ends d2 without removing it from the roster.
func (a *absenceBed) kill() {
	a.d2.Close()
	a.bed.network.setHandler("d2", nil)
}

// setListed adds d2's instance to the platform's list, or removes it.
func (a *absenceBed) setListed(listed bool) {
	if listed {
		a.bed.platform.SetInstance(tw.Instance{ID: "d2", Role: tw.RoleEntry, Hall: "h1"})
		return
	}
	a.bed.platform.RemoveInstance("d2")
}

// removeWorker removes a worker, so that the planner waits for acknowledgements.
func (a *absenceBed) removeWorker(worker tw.InstanceID) { a.bed.platform.RemoveInstance(worker) }

// rosterIncarnation returns d2's incarnation in the roster, or 0 if it is not there.
func (a *absenceBed) rosterIncarnation(g Gomega) tw.Incarnation {
	roster, err := a.bed.operator.Roster(context.Background(), "h1")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range roster.Members {
		if m.ID == "d2" {
			return m.Incarnation
		}
	}
	return 0
}

// absenceCases are events and d2's expected incarnation in the roster after them.
var absenceCases = map[string]struct {
	event       func(a *absenceBed)
	incarnation tw.Incarnation
}{
	"its process and its instance are gone": {
		event: func(a *absenceBed) {
			a.kill()
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(2 * absenceTimeout)
		},
		incarnation: 0,
	},
	"it is isolated, and one read of the list lacks its instance before the list becomes unavailable": {
		event: func(a *absenceBed) {
			a.setIsolated(true)
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(1500 * time.Millisecond)
			a.list.unavailable.Store(true)
			a.setListed(true)
			time.Sleep(2 * absenceTimeout)
		},
		incarnation: 1,
	},
	"it is isolated, and its instance is missing from the list for a moment, as it was long before": {
		event: func(a *absenceBed) {
			a.setIsolated(true)
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(3 * time.Second)
			a.setIsolated(false)
			time.Sleep(3 * time.Second)
			a.setListed(true)
			time.Sleep(10 * absenceTimeout)
			a.setIsolated(true)
			time.Sleep(2 * absenceTimeout)
			a.setListed(false)
			a.removeWorker("w1")
			time.Sleep(3 * time.Second)
		},
		incarnation: 1,
	},
	"its former incarnation was absent for long, and a new one has just registered": {
		event: func(a *absenceBed) {
			a.kill()
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(absenceTimeout - 2*time.Second)
			a.bed.network.setIsolated("d2", true)
			a.restarted, _ = a.bed.start("d2", 2, a.bed.platform)
			time.Sleep(4 * time.Second)
		},
		incarnation: 2,
	},
}

// TestAbsence checks that a daemon is removed from the roster, so that handovers no
// longer wait for it, only if it has been silent for absenceTimeout and its instance
// was missing from every read of the list in that time.
func TestAbsence(t *testing.T) {
	for name, c := range absenceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := &absenceBed{bed: newTestBed(t)}
				a.bed.intervals = Intervals{}
				a.list = &partitionableList{InstanceList: a.bed.platform}
				a.bed.list = a.list
				a.bed.platform.SetInstance(tw.Instance{ID: "d1", Role: tw.RoleEntry, Hall: "h1"})
				a.setListed(true)
				_, err := a.bed.operator.Apply(t.Context(), testConfig, "test", 0)
				g.Expect(err).NotTo(HaveOccurred())
				planner, _ := a.bed.start("d1", 1, a.bed.platform)
				defer planner.Close()
				time.Sleep(10 * time.Second)
				a.store = &partitionableStore{Store: a.bed.platform}
				a.d2, _ = a.bed.start("d2", 1, a.store)
				defer a.d2.Close()
				time.Sleep(absenceTimeout)
				g.Expect(a.rosterIncarnation(g)).To(Equal(tw.Incarnation(1)))
				c.event(a)
				if a.restarted != nil {
					defer a.restarted.Close()
				}
				g.Expect(planner.planner.leaseHeld.Load()).To(BeTrue())
				g.Expect(a.rosterIncarnation(g)).To(Equal(c.incarnation))
			})
		})
	}
}
