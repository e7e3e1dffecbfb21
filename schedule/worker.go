package schedule

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Worker is the scheduler's view of a worker. Place subtracts the reservations of
	// placed subtasks from Free and counts them in Serving and Fillers.
	Worker struct {
		ID     tw.WorkerID
		Hall   tw.HallID
		Rack   tw.RackLabel
		Labels []string
		Free   tw.Resources
		// MaxPlacements limits how many subtasks Place may put on the worker; 0 means no limit.
		MaxPlacements int
		placed        int
		// Freeing is the capacity that runs being stopped will release.
		Freeing tw.Resources
		// Attainable is the capacity that is free once all runs except long-running ones
		// have ended.
		Attainable tw.Resources
		// Suspicion is the suspicion level; 0 means healthy. Workers with a lower
		// level are used first.
		Suspicion int
		// Leaving: its machine will be taken down soon. Long-running steps use it last.
		Leaving bool
		// Rank orders otherwise equal workers. Work is packed onto the lowest ranks.
		Rank int
		// Serving counts subtasks with a tail latency target, Fillers counts
		// subtasks that use only the CPU time left by others.
		Serving int
		Fillers int
	}

	// Placement assigns a subtask to a worker.
	Placement struct {
		Subtask tw.SubtaskID
		Worker  *Worker
	}
)

// AtLimit reports whether Place has reached the worker's placement limit.
func (w *Worker) AtLimit() bool { return w.MaxPlacements > 0 && w.placed >= w.MaxPlacements }

// HasLabel reports whether the worker may run steps that require the label.
func (w *Worker) HasLabel(label string) bool {
	return tw.HasLabel(w.Labels, label)
}
