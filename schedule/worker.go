package schedule

import (
	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Worker is what the scheduler knows of a worker. Place takes what it
	// places out of Free and counts it in Serving and Fillers.
	Worker struct {
		ID     tw.WorkerID
		Hall   tw.HallID
		Rack   tw.RackLabel
		Labels []string
		Free   tw.Resources
		// MaxPlacements bounds the subtasks that Place puts there; 0 for no bound.
		MaxPlacements int
		placed        int
		// Freeing is what will be free once what is being stopped has ended.
		Freeing tw.Resources
		// Attainable is what is free once all that ends by itself has ended.
		Attainable tw.Resources
		// Suspicion is how doubtful the worker is; 0 is sound. Less distrusted
		// workers come first.
		Suspicion int
		// Rank orders workers that are alike. Work is packed onto the lowest.
		Rank int
		// Serving counts subtasks with a tail target, Fillers those that take
		// what the others leave.
		Serving int
		Fillers int
	}

	// Placement puts a subtask on a worker.
	Placement struct {
		Subtask tw.SubtaskID
		Worker  *Worker
	}
)

// AtLimit tells whether Place has put as many subtasks there as it may.
func (w *Worker) AtLimit() bool { return w.MaxPlacements > 0 && w.placed >= w.MaxPlacements }

// HasLabel tells whether the worker may run steps that ask for the label.
func (w *Worker) HasLabel(label string) bool {
	return tw.HasLabel(w.Labels, label)
}
