package run

import (
	"context"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// Directions are what the one who moves machines tells a pool's owner.
	Directions struct {
		// Vacate are the machines that are to be emptied.
		Vacate []tw.InstanceID `json:"vacate,omitempty"`
		// Gone are workers that have ended for certain.
		Gone []tw.WorkerID `json:"gone,omitempty"`
		// Running are workers of the pool that run by the list of machines but
		// were not in the owner's last report.
		Running []tw.WorkerID `json:"running,omitempty"`
	}

	// Report is what the owner of a pool tells the one who moves machines.
	Report struct {
		Pool    tw.PoolID    `json:"pool"`
		Workers []WorkerLoad `json:"workers"`
		// Running is what runs take, Waiting what waiting subtasks that could
		// start now and can end in time would take, and Lasting the part of both that
		// lasts. Late is what those would take that can only end late.
		Running     tw.Resources `json:"running"`
		Waiting     tw.Resources `json:"waiting"`
		LongRunning tw.Resources `json:"lasting"`
		Late        tw.Resources `json:"late"`
		// MinWorkers is on how many workers the widest step must run that bounds
		// its subtasks on one worker.
		MinWorkers int `json:"spread"`
		// Offered is the work of all submissions accepted so far by this
		// owner, but for lasting steps: needs times expected run time.
		Offered Work `json:"offered"`
		// OfferedCount is how many submissions that is.
		OfferedCount int64 `json:"offeredCount"`
		// Fence tells reports of successive owners apart.
		Fence tw.FencingToken `json:"fence"`
	}

	// Work is resources times seconds.
	Work struct {
		CPU      float64 `json:"cpu"`      // millicore seconds
		MemoryMB float64 `json:"memoryMb"` // megabyte seconds
	}

	// WorkerLoad is what runs on a worker.
	WorkerLoad struct {
		Instance    tw.InstanceID `json:"instance"`
		Worker      tw.WorkerID   `json:"worker"`
		Capacity    tw.Resources  `json:"capacity"`
		Free        tw.Resources  `json:"free"`
		Runs        int           `json:"runs"`
		LongRunning int           `json:"lasting"`
		// Unrecorded: it has told of ends that the store does not hold yet. Should it end
		// and then its owner, they would be forgotten and the subtasks run again.
		Unrecorded bool `json:"unrecorded,omitempty"`
		// Known: the worker has answered this owner lately, so that what runs
		// there is known.
		Known bool `json:"known"`
		// Schedulable: it takes work.
		Schedulable bool `json:"sound"`
	}
)

// Empty tells whether a machine can be taken away without harm to what ran on its worker.
func (l WorkerLoad) Empty() bool { return l.Runs == 0 && !l.Unrecorded }

// Report follows the directions and then tells how busy the pool is.
func (o *Owner) Report(ctx context.Context, d Directions) (Report, error) {
	return query(ctx, o, func() (Report, error) {
		o.applyDirections(d)
		return o.report(), nil
	})
}

func (o *Owner) report() Report {
	out := Report{Pool: o.pool, Offered: o.offered, OfferedCount: o.offeredCount, Fence: o.self.Fence}
	for _, w := range o.workers {
		free := w.free()
		out.Workers = append(out.Workers, WorkerLoad{
			Instance: w.entry.Instance, Worker: w.entry.ID, Capacity: w.entry.Capacity, Free: free,
			Runs: len(w.runs), LongRunning: w.tally.lastingRuns, Schedulable: w.usable(o.now) && !o.evacuated.Has(w.entry.Hall),
			Known: w.stateKnown && w.unanswered == 0, Unrecorded: w.recordedEnd < w.seenEnd,
		})
		for _, r := range w.runs {
			out.Running = out.Running.Plus(r.claim)
			if r.task.step.spec.LongRunning {
				out.LongRunning = out.LongRunning.Plus(r.claim)
			}
		}
	}
	for _, sub := range o.live {
		for _, rep := range sub.reps {
			o.addWaiting(rep, &out)
		}
	}
	return out
}

// addWaiting adds the needs of the subtasks that could start now, but for
// work that ends too late to count in any case.
func (o *Owner) addWaiting(rep *repetition, out *Report) {
	objective := o.objective(rep)
	overdue := o.now.Sub(rep.due) > schedule.LateFactor*objective
	late := o.late(rep, objective)
	for _, st := range rep.steps {
		if st.done == st.spec.Count || !st.ready() {
			continue
		}
		if most := st.spec.MaxPerWorker; most > 0 {
			out.MinWorkers = max(out.MinWorkers, (st.spec.Count-st.done+most-1)/most)
		}
		if overdue && !st.spec.LongRunning {
			continue
		}
		for _, t := range st.tasks {
			if t.done || t.active() {
				continue
			}
			claim := st.spec.Reservation()
			switch {
			case st.spec.LongRunning:
				out.Waiting = out.Waiting.Plus(claim)
				out.LongRunning = out.LongRunning.Plus(claim)
			case late:
				out.Late = out.Late.Plus(claim)
			default:
				out.Waiting = out.Waiting.Plus(claim)
			}
		}
	}
}

// late tells whether a repetition can't end within its objective any more.
func (o *Owner) late(rep *repetition, objective time.Duration) bool {
	rest := time.Duration(0)
	for _, r := range o.criticalPaths(rep) {
		rest = max(rest, r)
	}
	return o.now.Add(rest).After(rep.due.Add(objective))
}

// addOffered adds the work of a new submission to what was offered.
func (o *Owner) addOffered(sub *submission) {
	before := o.offered
	for _, rep := range sub.reps {
		work := o.remainingWork(rep)
		o.offered.CPU += work.CPU
		o.offered.MemoryMB += work.MemoryMB
		if work.CPU > 0 {
			o.typical.add(work.CPU, o.objective(rep))
		}
	}
	if o.offered != before {
		o.offeredCount++
	}
}
