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

// cutList is an instance list that may not answer.
type cutList struct {
	tw.InstanceList
	cut atomic.Bool
}

func (l *cutList) List(ctx context.Context, hall tw.HallID, seen uint64) (tw.InstanceSnapshot, error) {
	if l.cut.Load() {
		return tw.InstanceSnapshot{}, tw.ErrUnavailable
	}
	return l.InstanceList.List(ctx, hall, seen)
}

// absentDaemon is a hall whose planner, d1, does not hear d2.
type absentDaemon struct {
	bed   *bed
	list  *cutList
	store *cutStore // of d2
	node  *Node     // d2
	next  *Node     // a new life of d2, if there is one
}

// cut cuts d2 off from the other daemons and from the store.
func (a *absentDaemon) cut(cut bool) {
	a.bed.network.setCut("d2", cut)
	a.store.set(cut)
}

// kill ends d2 without a word.
func (a *absentDaemon) kill() {
	a.node.Close()
	a.bed.network.set("d2", nil)
}

// listed puts d2's instance into the platform's list, or takes it out.
func (a *absentDaemon) listed(listed bool) {
	if listed {
		a.bed.platform.SetInstance(tw.Instance{ID: "d2", Role: tw.RoleEntry, Hall: "h1"})
		return
	}
	a.bed.platform.RemoveInstance("d2")
}

// lose loses a worker, so that the planner waits for acknowledgements.
func (a *absentDaemon) lose(worker tw.InstanceID) { a.bed.platform.RemoveInstance(worker) }

// life is that of d2 in the roster, 0 if it is not there.
func (a *absentDaemon) life(g Gomega) tw.Incarnation {
	roster, err := a.bed.operator.Roster(context.Background(), "h1")
	g.Expect(err).NotTo(HaveOccurred())
	for _, m := range roster.Members {
		if m.ID == "d2" {
			return m.Incarnation
		}
	}
	return 0
}

// absences are what becomes of d2, and which life of it must be in the roster then.
var absences = map[string]struct {
	happens func(a *absentDaemon)
	life    tw.Incarnation
}{
	"its process and its instance are gone": {
		happens: func(a *absentDaemon) {
			a.kill()
			a.listed(false)
			a.lose("w0")
			time.Sleep(2 * absentFor)
		},
		life: 0,
	},
	"it is cut off, and one read of the list lacks its instance before the list goes silent": {
		happens: func(a *absentDaemon) {
			a.cut(true)
			a.listed(false)
			a.lose("w0")
			time.Sleep(1500 * time.Millisecond)
			a.list.cut.Store(true)
			a.listed(true)
			time.Sleep(2 * absentFor)
		},
		life: 1,
	},
	"it is cut off, and the list lacks its instance for a moment, as it did long before": {
		happens: func(a *absentDaemon) {
			a.cut(true)
			a.listed(false)
			a.lose("w0")
			time.Sleep(3 * time.Second)
			a.cut(false)
			time.Sleep(3 * time.Second)
			a.listed(true)
			time.Sleep(10 * absentFor)
			a.cut(true)
			time.Sleep(2 * absentFor)
			a.listed(false)
			a.lose("w1")
			time.Sleep(3 * time.Second)
		},
		life: 1,
	},
	"its former life was gone for long, and a new one has just registered": {
		happens: func(a *absentDaemon) {
			a.kill()
			a.listed(false)
			a.lose("w0")
			time.Sleep(absentFor - 2*time.Second)
			a.bed.network.setCut("d2", true)
			a.next, _ = a.bed.start("d2", 2, a.bed.platform)
			time.Sleep(4 * time.Second)
		},
		life: 2,
	},
}

// TestAbsence: only a daemon whose instance was missing from every read of the list
// for long, while it was silent itself, is taken out of the roster. No handover waits
// for one that is not there.
func TestAbsence(t *testing.T) {
	for name, c := range absences {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				a := &absentDaemon{bed: newBed()}
				a.bed.pace = Pace{}
				a.list = &cutList{InstanceList: a.bed.platform}
				a.bed.list = a.list
				a.bed.platform.SetInstance(tw.Instance{ID: "d1", Role: tw.RoleEntry, Hall: "h1"})
				a.listed(true)
				_, err := a.bed.operator.Apply(t.Context(), source, "test", 0)
				g.Expect(err).NotTo(HaveOccurred())
				planner, _ := a.bed.start("d1", 1, a.bed.platform)
				defer planner.Close()
				time.Sleep(10 * time.Second)
				a.store = &cutStore{Store: a.bed.platform}
				a.node, _ = a.bed.start("d2", 1, a.store)
				defer a.node.Close()
				time.Sleep(absentFor)
				g.Expect(a.life(g)).To(Equal(tw.Incarnation(1)))
				c.happens(a)
				if a.next != nil {
					defer a.next.Close()
				}
				g.Expect(planner.planner.held.Load()).To(BeTrue())
				g.Expect(a.life(g)).To(Equal(c.life))
			})
		})
	}
}
