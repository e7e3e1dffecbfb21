package run

import (
	"context"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// Directions are the machine manager's requests to the owner of a pool.
	Directions struct {
		// Vacate are the machines to be vacated.
		Vacate []tw.InstanceID `json:"vacate,omitempty"`
		// Gone are workers that have certainly ended, GoneFor how long ago each of them was known to
		// have. A manager of an older version does not report that.
		Gone    []tw.WorkerID   `json:"gone,omitempty"`
		GoneFor []time.Duration `json:"goneFor,omitempty"`
		// Running are workers of the pool that run according to the list of machines, but
		// were not in the owner's last report.
		Running []tw.WorkerID `json:"running,omitempty"`
		// Upcoming are the machines that a maintenance wave will take down. Long-running
		// subtasks are moved off them ahead of that, as a step can miss only a few at a time.
		Upcoming []tw.InstanceID `json:"upcoming,omitempty"`
	}

	// Report is the load of a pool as reported by its owner to the machine manager.
	Report struct {
		Pool    tw.PoolID    `json:"pool"`
		Workers []WorkerLoad `json:"workers"`
		// Running are the resources of runs, Waiting those of waiting subtasks that could
		// start now and end in time, and LongRunning the long-running part of both. Late are the
		// resources of waiting subtasks that can only end late or are beyond their
		// organisations' weights.
		Running     tw.Resources `json:"running"`
		Waiting     tw.Resources `json:"waiting"`
		LongRunning tw.Resources `json:"lasting"`
		Late        tw.Resources `json:"late"`
		// MinWorkers is the number of workers that the widest step with a limit per worker
		// needs.
		MinWorkers int `json:"spread"`
		// Offered is the work of all submissions accepted so far by this owner, without
		// long-running steps: resources times expected run time.
		Offered Work `json:"offered"`
		// OfferedCount is the number of those submissions.
		OfferedCount int64 `json:"offeredCount"`
		// Fence distinguishes the reports of successive owners.
		Fence tw.FencingToken `json:"fence"`
	}

	// Work is resources multiplied by run time.
	Work struct {
		CPU      float64 `json:"cpu"`      // millicore seconds
		MemoryMB float64 `json:"memoryMb"` // megabyte seconds
	}

	// WorkerLoad describes the capacity and the runs of a worker.
	WorkerLoad struct {
		Instance    tw.InstanceID `json:"instance"`
		Worker      tw.WorkerID   `json:"worker"`
		Capacity    tw.Resources  `json:"capacity"`
		Free        tw.Resources  `json:"free"`
		Runs        int           `json:"runs"`
		LongRunning int           `json:"lasting"`
		// Unrecorded: the worker has reported ends that are not in the store yet. If it and
		// then the owner went away, the ends would be lost and the subtasks run again.
		Unrecorded bool `json:"unrecorded,omitempty"`
		// Known: the worker has answered this owner and its last order, so its runs are known.
		Known bool `json:"known"`
		// Schedulable: new work may be placed on the worker.
		Schedulable bool `json:"sound"`
	}
)

// Empty reports whether a machine can be taken away without losing runs or unrecorded ends.
func (l WorkerLoad) Empty() bool { return l.Runs == 0 && !l.Unrecorded }

// Report applies the directions and then returns the load of the pool.
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
			Runs: len(w.runs), LongRunning: w.tally.longRunningRuns, Schedulable: w.usable(o.now) && !o.evacuated.Has(w.entry.Hall),
			Known: w.stateKnown && !w.silent(), Unrecorded: w.recordedEnd < w.seenEnd,
		})
		out.Running = out.Running.Plus(w.tally.used)
		out.LongRunning = out.LongRunning.Plus(w.tally.longRunning)
	}
	for _, sub := range o.live {
		for _, rep := range sub.reps {
			o.addWaiting(rep, &out)
		}
	}
	return out
}

// addWaiting adds the resources of the subtasks that could start now, except for work that is so
// late that the platform gives it no value any more (schedule.LateFactor).
func (o *Owner) addWaiting(rep *repetition, out *Report) {
	objective := o.objective(rep)
	overdue := o.now.Sub(rep.due) > schedule.LateFactor*objective
	late, lateKnown := rep.sub.ahead > 0, rep.sub.ahead > 0
	for _, st := range rep.steps {
		if st.done == st.spec.Count || !st.ready() {
			continue
		}
		if limit := st.spec.MaxPerWorker; limit > 0 {
			out.MinWorkers = max(out.MinWorkers, (st.spec.Count-st.done+limit-1)/limit)
		}
		if overdue && !st.spec.LongRunning {
			continue
		}
		if st.waiting == 0 {
			continue
		}
		if !lateKnown {
			late, lateKnown = o.late(rep, objective), true
		}
		reservation := st.spec.Reservation().Times(st.waiting)
		switch {
		case st.spec.LongRunning:
			out.Waiting = out.Waiting.Plus(reservation)
			out.LongRunning = out.LongRunning.Plus(reservation)
		case late:
			out.Late = out.Late.Plus(reservation)
		default:
			out.Waiting = out.Waiting.Plus(reservation)
		}
	}
}

// late reports whether a repetition can't end within its objective any more.
func (o *Owner) late(rep *repetition, objective time.Duration) bool {
	longest := time.Duration(0)
	for _, path := range o.criticalPaths(rep, nil) {
		longest = max(longest, path)
	}
	return o.now.Add(longest).After(rep.due.Add(objective))
}

// addOffered adds the work of a new submission to offered.
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
