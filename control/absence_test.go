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

// partitionableList is an instance list that may not answer.
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

// absenceBed is a hall whose planner, d1, does not hear d2.
type absenceBed struct {
	bed       *testBed
	list      *partitionableList
	store     *partitionableStore // of d2
	node      *Node               // d2
	restarted *Node               // a new life of d2, if there is one
}

// setIsolated cuts d2 off from the other daemons and from the store.
func (a *absenceBed) setIsolated(cut bool) {
	a.bed.network.setIsolated("d2", cut)
	a.store.setUnavailable(cut)
}

// kill ends d2 without a word.
func (a *absenceBed) kill() {
	a.node.Close()
	a.bed.network.setHandler("d2", nil)
}

// setListed puts d2's instance into the platform's list, or takes it out.
func (a *absenceBed) setListed(listed bool) {
	if listed {
		a.bed.platform.SetInstance(tw.Instance{ID: "d2", Role: tw.RoleEntry, Hall: "h1"})
		return
	}
	a.bed.platform.RemoveInstance("d2")
}

// removeWorker loses a worker, so that the planner waits for acknowledgements.
func (a *absenceBed) removeWorker(worker tw.InstanceID) { a.bed.platform.RemoveInstance(worker) }

// rosterIncarnation is that of d2 in the roster, 0 if it is not there.
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

// absenceCases are what becomes of d2, and which life of it must be in the roster then.
var absenceCases = map[string]struct {
	happens func(a *absenceBed)
	life    tw.Incarnation
}{
	"its process and its instance are gone": {
		happens: func(a *absenceBed) {
			a.kill()
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(2 * absenceTimeout)
		},
		life: 0,
	},
	"it is cut off, and one read of the list lacks its instance before the list goes silent": {
		happens: func(a *absenceBed) {
			a.setIsolated(true)
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(1500 * time.Millisecond)
			a.list.unavailable.Store(true)
			a.setListed(true)
			time.Sleep(2 * absenceTimeout)
		},
		life: 1,
	},
	"it is cut off, and the list lacks its instance for a moment, as it did long before": {
		happens: func(a *absenceBed) {
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
		life: 1,
	},
	"its former life was gone for long, and a new one has just registered": {
		happens: func(a *absenceBed) {
			a.kill()
			a.setListed(false)
			a.removeWorker("w0")
			time.Sleep(absenceTimeout - 2*time.Second)
			a.bed.network.setIsolated("d2", true)
			a.restarted, _ = a.bed.start("d2", 2, a.bed.platform)
			time.Sleep(4 * time.Second)
		},
		life: 2,
	},
}

// TestAbsence: only a daemon whose instance was missing from every read of the list
// for long, while it was silent itself, is taken out of the roster. No handover waits
// for one that is not there.
func TestAbsence(t *testing.T) {
	for name, c := range absenceCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := &absenceBed{bed: newTestBed()}
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
				a.node, _ = a.bed.start("d2", 1, a.store)
				defer a.node.Close()
				time.Sleep(absenceTimeout)
				g.Expect(a.rosterIncarnation(g)).To(Equal(tw.Incarnation(1)))
				c.happens(a)
				if a.restarted != nil {
					defer a.restarted.Close()
				}
				g.Expect(planner.planner.leaseHeld.Load()).To(BeTrue())
				g.Expect(a.rosterIncarnation(g)).To(Equal(c.life))
			})
		})
	}
}
