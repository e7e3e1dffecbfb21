package run_test

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// cancelRig is a rig with a submission s1 that is cancelled while orders about it fail.
	cancelRig struct {
		*rig
		orders  *faultyOrders
		process *process
		owner   *run.Owner
	}

	// cancelCell is one combination of what happens around a cancel.
	cancelCell struct {
		start, stop orderFault
		// moment waits until the cancel.
		moment func(r *cancelRig)
		// cancel cancels s1 and may replace the owner.
		cancel func(r *cancelRig)
		// worker is what happens to the workers right after that.
		worker func(r *cancelRig)
		work   func() tw.Submission
		// takeover: s1 is among the first that a new owner starts.
		takeover bool
	}

	// phaseCounts counts the phases of runs when they were cancelled.
	phaseCounts struct {
		mu     sync.Mutex
		counts map[string]int
		cells  int
	}
)

// faultsAfterCancel is how long orders still fail after the cancel.
const faultsAfterCancel = 1500 * time.Millisecond

func afterStart(d time.Duration) func(r *cancelRig) {
	return func(r *cancelRig) {
		select {
		case <-r.orders.sent:
			time.Sleep(d)
		case <-time.After(2 * time.Second):
		}
	}
}

// cancelMoments are the moments of the cancel.
var cancelMoments = map[string]func(r *cancelRig){
	"placed":              func(r *cancelRig) { r.awaitPhase("placed") },
	"sent":                afterStart(0),
	"after 3 ms":          afterStart(3 * time.Millisecond),
	"after 40 ms":         afterStart(40 * time.Millisecond),
	"after 250 ms":        afterStart(250 * time.Millisecond),
	"after 0.9 s":         afterStart(900 * time.Millisecond),
	"after 1.4 s":         afterStart(1400 * time.Millisecond),
	"start not confirmed": func(r *cancelRig) { r.awaitPhase("unclear") },
	"stop not confirmed":  func(r *cancelRig) { r.awaitPhase("stopping") },
	"stopped, not gone":   func(r *cancelRig) { r.awaitPhase("blocked") },
}

// phases returns the phases of the runs of s1.
func (r *cancelRig) phases() []string {
	phases, err := r.owner.RunPhases(r.ctx, "s1")
	r.Expect(err).NotTo(HaveOccurred())
	return phases
}

// awaitPhase waits until a run of s1 is in a phase, for at most 1.5 s.
func (r *cancelRig) awaitPhase(want string) {
	for range 1500 {
		for _, phase := range r.phases() {
			if phase == want {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// cancelWays cancel s1. All of them confirm the cancel.
var cancelWays = map[string]func(r *cancelRig){
	"owner stays": (*cancelRig).cancelAtOwner,
	"through the store": func(r *cancelRig) {
		r.confirmCancelInStore("s1")
		r.owner.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s1"})
	},
	"owner killed after it": func(r *cancelRig) {
		r.cancelAtOwner()
		r.killOwner()
		r.succeed()
	},
	"owner stopped after it": func(r *cancelRig) {
		r.cancelAtOwner()
		r.owner.Drain(r.ctx)
		r.fleet.NoteDisturbance()
		r.succeed()
	},
	"owner killed before it": func(r *cancelRig) {
		r.killOwner()
		r.confirmCancelInStore("s1")
		r.succeed()
	},
	"during the takeover": func(r *cancelRig) {
		r.killOwner()
		book := r.openBook("b", r.kv)
		r.confirmCancelInStore("s1")
		r.owner = r.startOwner(book, r.orders)
		time.Sleep(20 * time.Millisecond)
		r.owner.HandleInbox(r.ctx, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s1"})
	},
	"at the successor, owner goes on": func(r *cancelRig) {
		r.succeed()
		time.Sleep(10 * time.Millisecond)
		r.cancelAtOwner()
	},
}

func (r *cancelRig) cancelAtOwner() {
	r.Expect(r.owner.Cancel(r.ctx, "", "s1")).To(Succeed())
	r.fleet.NoteCancelled("s1")
}

func (r *cancelRig) killOwner() {
	r.process.kill()
	r.owner.Close()
	r.fleet.NoteDisturbance()
}

func (r *cancelRig) succeed() { r.owner = r.newOwnerWith("b", r.kv, r.orders) }

// workerFates are what happens to the workers right after the cancel.
var workerFates = map[string]func(r *cancelRig){
	"workers stay": func(*cancelRig) {},
	"workers restart": func(r *cancelRig) {
		r.fleet.NoteDisturbance()
		for n := range cancelWorkers {
			r.list[workerID(n)] = r.restart(n)
		}
		r.publishWorkers(r.owner)
	},
	"workers restart, entries late": func(r *cancelRig) {
		time.Sleep(100 * time.Millisecond)
		r.fleet.NoteDisturbance()
		for n := range cancelWorkers {
			r.list[workerID(n)] = r.restart(n)
		}
		time.Sleep(500 * time.Millisecond)
		r.publishWorkers(r.owner)
	},
	"entries gone for 2 s": func(r *cancelRig) {
		list := r.list
		r.list = nil
		r.publishWorkers(r.owner)
		time.Sleep(2 * time.Second)
		r.list = list
		r.publishWorkers(r.owner)
	},
	"workers silent for 1 s": func(r *cancelRig) {
		r.setSilent(true)
		time.Sleep(time.Second)
		r.setSilent(false)
	},
	"taken for ended": func(r *cancelRig) {
		for _, entry := range r.list {
			r.cloud.Add(tw.Machine{ID: entry.Instance, Pool: pool, State: tw.MachineMoving})
		}
		r.setSilent(true)
		time.Sleep(time.Second)
		for _, entry := range r.list {
			r.listAsRunning(entry)
		}
		r.setSilent(false)
	},
}

func (r *cancelRig) setSilent(silent bool) {
	r.fleet.NoteDisturbance()
	for n := range cancelWorkers {
		r.fleet.UpdateWorker(workerID(n), func(w *standin.SimWorker) { w.Silent = silent })
	}
}

// cancelWork is work of each kind that is started in its own way. None of it ends by itself within the
// test.
var cancelWork = map[string]func() tw.Submission{
	"plain": func() tw.Submission { return cancelledWork(func(*tw.Submission) {}) },
	"gang":  func() tw.Submission { return cancelledWork(func(s *tw.Submission) { s.Steps[0].Gang = true }) },
	"copies": func() tw.Submission {
		return cancelledWork(func(s *tw.Submission) { s.Steps[0].AllowCopies = true })
	},
	"filler":       func() tw.Submission { return cancelledWork(func(s *tw.Submission) { s.Steps[0].Filler = true }) },
	"long-running": func() tw.Submission { return cancelledWork(func(s *tw.Submission) { s.Steps[0].LongRunning = true }) },
	"repeated": func() tw.Submission {
		return cancelledWork(func(s *tw.Submission) {
			s.Schedule = tw.Schedule{First: time.Now(), Interval: 500 * time.Millisecond, Times: 20}
		})
	},
}

func cancelledWork(change func(s *tw.Submission)) tw.Submission {
	s := submission("s1", 3)
	s.Steps[0].Estimate = time.Minute
	change(&s)
	return s
}

const cancelWorkers = 2

// run plays the cell. It returns the phases of the runs at the moment of the cancel.
func (c cancelCell) run(r *cancelRig) []string {
	r.setStartTimes()
	r.orders = newFaultyOrders(r.rig, "s1", c.start, c.stop)
	r.process = newProcess(r.rig, nowhere, false)
	r.process.WorkerOrders = r.orders
	s := c.work()
	r.fleet.RegisterSubmission(&s, nil)
	if c.takeover {
		r.newOwner("first").Close()
		r.storeAccepted(s)
		r.kv.SetFaults(standin.KVFaults{Slow: 20 * time.Millisecond}) // placed work waits for its record
	}
	r.owner = r.newOwnerWith("a", r.process, r.process)
	if !c.takeover {
		time.Sleep(time.Second)
		r.Expect(r.owner.Submit(r.ctx, s)).To(Succeed())
	}
	c.moment(r)
	phases := r.phases()
	time.AfterFunc(faultsAfterCancel, r.orders.heal)
	c.cancel(r)
	c.worker(r)
	time.Sleep(faultsAfterCancel + latest(c.start, c.stop) + 3400*time.Millisecond + time.Second)
	r.Expect(r.fleet.SubmissionRuns("s1")).To(BeZero())
	r.Expect(r.phases()).To(BeEmpty())
	r.eventually(r.owner, "s1", tw.SubmissionCancelled, time.Second)
	return phases
}

func (p *phaseCounts) add(phases []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cells++
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	if len(phases) == 0 {
		p.counts["none"]++
	}
	for _, phase := range phases {
		p.counts[phase]++
	}
}

// cancelCellsEnv is the variable that sets how many cells are played for each way in which the orders to start
// and to stop a run end.
const (
	cancelCellsEnv     = "TAMARIND_CANCEL_CELLS"
	defaultCancelCells = 2
)

// TestCancelAmongFaultyOrders plays cancels at moments of the runs, for each way in which the orders to start
// and to stop them end. Nothing of the submission may run 3.4 s after the last fault. Each of these pairs is
// played with a few of the other circumstances.
func TestCancelAmongFaultyOrders(t *testing.T) {
	t.Parallel()
	cells := defaultCancelCells
	if n, err := strconv.Atoi(os.Getenv(cancelCellsEnv)); err == nil {
		cells = n
	}
	var seen phaseCounts
	t.Run("", func(t *testing.T) {
		for i, start := range sortedKeys(startFaults) {
			t.Run(start, func(t *testing.T) {
				t.Parallel()
				for j, stop := range sortedKeys(stopFaults) {
					random := rand.New(rand.NewPCG(uint64(i), uint64(j)))
					for range cells {
						name, cell := anyCell(random)
						cell.start, cell.stop = startFaults[start], stopFaults[stop]
						runCase(t, stop+", "+name, cancelWorkers, func(r *rig) { seen.add(cell.run(&cancelRig{rig: r})) })
					}
				}
			})
		}
	})
	t.Logf("%d cells, runs by phase at the cancel: %v", seen.cells, seen.counts)
	NewWithT(t).Expect(seen.counts).To(And(
		HaveKey("placed"), HaveKey("starting"), HaveKey("running"), HaveKey("unclear"), HaveKey("stopping"), HaveKey("blocked"),
	))
}

// cancelCases are cells in which runs went on.
var cancelCases = map[string]cancelCell{
	"a late order starts it on the next incarnation before that is known": {
		start: startFaults["start outdated"], moment: cancelMoments["after 40 ms"], cancel: cancelWays["owner stays"],
		worker: workerFates["workers restart, entries late"],
	},
	"a late order starts it on a worker that was taken for ended": {
		start: startFaults["start done after 5 s"], moment: cancelMoments["after 250 ms"], cancel: cancelWays["owner stays"],
		worker: workerFates["taken for ended"],
	},
}

// TestCancelledRunsOfLateOrders guards against runs of cancelled work that nobody stops.
func TestCancelledRunsOfLateOrders(t *testing.T) {
	for name, cell := range cancelCases {
		for workName, work := range cancelWork {
			cell.work = work
			runCase(t, name+", "+workName, cancelWorkers, func(r *rig) { cell.run(&cancelRig{rig: r}) })
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// anyCell returns a cell with random circumstances, and their names.
func anyCell(random *rand.Rand) (string, cancelCell) {
	var names []string
	pick := func(keys []string) string {
		key := keys[random.IntN(len(keys))]
		names = append(names, key)
		return key
	}
	c := cancelCell{
		moment: cancelMoments[pick(sortedKeys(cancelMoments))], cancel: cancelWays[pick(sortedKeys(cancelWays))],
		worker: workerFates[pick(sortedKeys(workerFates))], work: cancelWork[pick(sortedKeys(cancelWork))],
		takeover: pick([]string{"settled owner", "new owner"}) == "new owner",
	}
	return strings.Join(names, ", "), c
}
