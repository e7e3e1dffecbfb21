package run

import (
	tw "github.com/tamarindworks/tamarindworks"
)

// A placement pass and a count of the backlog visit all live submissions. With the waiting subtasks
// counted and listed by step they need not visit the subtasks.

// addRun adds a run that may exist on a worker.
func (t *task) addRun(r *runState) {
	t.step.changed = true
	if !t.done && !t.active() {
		t.step.waiting--
	}
	t.runs = append(t.runs, r)
}

// removeRun removes a run. It ignores one that is not there.
func (t *task) removeRun(r *runState) {
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			if !t.done && !t.active() {
				t.step.waiting++
			}
			return
		}
	}
}

// setDone marks a subtask that was not done as done.
func (t *task) setDone() {
	t.step.changed = true
	if !t.active() {
		t.step.waiting--
	}
	t.done = true
	t.step.done++
}

// allIDs returns all subtasks of the step. The result must not be changed.
func (st *step) allIDs() []tw.SubtaskID {
	if st.ids == nil {
		ids := make([]tw.SubtaskID, 0, len(st.tasks))
		for _, t := range st.tasks {
			ids = append(ids, t.id)
		}
		st.ids = ids
	}
	return st.ids
}
