package standin

import (
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// clock returns the time on the worker's own clock.
func (w *SimWorker) clock(now time.Time) tw.WorkerTime {
	return tw.WorkerTime(now.Sub(w.bootedAt).Milliseconds()) + w.bootClock
}

// defaultBootClock is the reading of a worker's clock at its start.
const defaultBootClock tw.WorkerTime = 1000

// WorkerClock returns what a worker's clock reads.
func (f *Fleet) WorkerClock(id tw.WorkerID) tw.WorkerTime {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].clock(f.config.Clock.Now())
}

// admit checks an order's fencing token and extends the worker's deadline to the order's
// deadline, but to no later than MaxHold from now.
func (w *SimWorker) admit(f *Fleet, fence tw.FencingToken, deadline tw.WorkerTime) error {
	now := f.config.Clock.Now()
	if fence < w.fence {
		return &tw.OrderRefusedError{Reason: tw.RefusedStaleFence, Clock: w.clock(now)}
	}
	w.fence = fence
	if deadline == 0 {
		return nil
	}
	until := w.bootedAt.Add(time.Duration(deadline-w.bootClock) * time.Millisecond)
	if until.Before(now) {
		return &tw.OrderRefusedError{Reason: tw.RefusedDeadlinePassed, Clock: w.clock(now)}
	}
	if latest := now.Add(f.config.MaxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.deadline) {
		w.deadline = until
	}
	return nil
}

// advance ends the runs of a worker that are due by now. If the worker's deadline has
// passed, it also ends those that would have run past the deadline, as expired.
func (f *Fleet) advance(w *SimWorker) {
	f.checkStopped(w)
	now := f.config.Clock.Now()
	expired := !w.deadline.IsZero() && now.After(w.deadline)
	for _, id := range w.runsByEnd() {
		r := w.runs[id]
		end, kind := w.endOf(r)
		if expired && (end.IsZero() || end.After(w.deadline)) {
			end, kind = w.deadline, tw.EndExpired
		}
		if end.IsZero() || end.After(now) {
			continue
		}
		f.finish(w, id, r, kind)
	}
	if expired {
		w.expiredUpTo = w.sequence
	}
}

// runsByEnd returns the subtasks that run, sorted by the end times of their runs, so that
// the sequence numbers of ends follow this order.
func (w *SimWorker) runsByEnd() []tw.SubtaskID {
	ids := make([]tw.SubtaskID, 0, len(w.runs))
	for id := range w.runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b tw.SubtaskID) int {
		ea, _ := w.endOf(w.runs[a])
		eb, _ := w.endOf(w.runs[b])
		if c := ea.Compare(eb); c != 0 {
			return c
		}
		return int(w.runs[a].run - w.runs[b].run)
	})
	return ids
}

// endOf returns when and how a run ends; the zero time means never.
func (w *SimWorker) endOf(r *simRun) (time.Time, tw.EndKind) {
	if !r.stopAt.IsZero() {
		return r.stopAt, tw.EndStopped
	}
	switch {
	case w.FailAll || r.profile.Fails:
		return r.started.Add(r.profile.Duration), tw.EndFailed
	case w.Hang || r.profile.Hangs || r.profile.LongRunning:
		return time.Time{}, ""
	}
	return r.started.Add(r.profile.Duration), tw.EndDone
}

func (f *Fleet) finish(w *SimWorker, id tw.SubtaskID, r *simRun, kind tw.EndKind) {
	delete(w.runs, id)
	w.sequence++
	w.closedRuns[id] = max(w.closedRuns[id], r.run)
	w.ended = append(w.ended, tw.EndedSubtask{Sequence: w.sequence, Subtask: id, Run: r.run, Kind: kind})
	switch kind {
	case tw.EndDone:
		f.done[id] = true
	case tw.EndFailed:
		f.failures[id]++
	}
	w.notifyChanged()
}

// acknowledge drops the ends that the caller has recorded and checks that no done subtask
// among them runs or was started again. From then on, none may be started. Subtasks that
// allow copies are exempt from all this. An end is exempt from the check if the worker's
// deadline passed before it was acknowledged: the caller may have restarted the subtask
// before it learned of the end.
func (f *Fleet) acknowledge(w *SimWorker, seen int64) {
	for _, e := range w.ended {
		if e.Sequence > seen || e.Kind != tw.EndDone || f.acked[e.Subtask] {
			continue
		}
		f.acked[e.Subtask] = true
		if f.profiles[e.Subtask].AllowCopies || e.Sequence <= w.expiredUpTo {
			continue
		}
		switch {
		case f.running(e.Subtask) > 0:
			f.addViolation("TWICE: %s runs though it is done", e.Subtask)
		case w.restartedAfter[e.Sequence]:
			f.addViolation("TWICE: %s was started again though it was done", e.Subtask)
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e tw.EndedSubtask) bool { return e.Sequence <= seen })
}

func (w *SimWorker) report(f *Fleet) tw.HoldReport {
	now := f.config.Clock.Now()
	out := tw.HoldReport{StartTime: w.Entry.StartTime, Clock: w.clock(now), Ended: slices.Clone(w.ended)}
	for id, r := range w.runs {
		running := tw.RunningSubtask{Subtask: id, Run: r.run, Percent: w.percent(f, r, now)}
		if r.profile.LatencySensitive {
			running.TailLatency = w.tailLatency()
		}
		out.Running = append(out.Running, running)
	}
	return out
}

// tailLatency returns the tail latency of the latency-sensitive runs on the worker.
func (w *SimWorker) tailLatency() time.Duration {
	return w.TailLatency + w.FillerInterference*time.Duration(w.fillerPace())/fullPercent
}

// fillerPace returns the highest pace of the fillers on the worker, in percent.
func (w *SimWorker) fillerPace() int {
	pace := 0
	for _, r := range w.runs {
		if r.profile.Filler {
			pace = max(pace, r.pace)
		}
	}
	return pace
}

// percent returns the percentage that the worker reports for a run: the pace of a
// long-running run, which counts as 0 until the run is ready, or the progress of any other.
func (w *SimWorker) percent(f *Fleet, r *simRun, now time.Time) int {
	ran := now.Sub(r.started)
	switch {
	case r.profile.LongRunning && ran >= f.config.StartupTime:
		return r.pace
	case r.profile.LongRunning || w.Hang || r.profile.Hangs || r.profile.Duration == 0:
		return 0
	}
	return int(fullPercent * ran / r.profile.Duration)
}

// nextChange returns when a run may end next. If none may end before the time given by
// until, it returns that time.
func (w *SimWorker) nextChange(now, until time.Time) time.Time {
	next := until
	for _, r := range w.runs {
		if end, _ := w.endOf(r); end.After(now) && end.Before(next) {
			next = end
		}
	}
	if w.deadline.After(now) && w.deadline.Before(next) {
		next = w.deadline.Add(time.Millisecond)
	}
	return next
}

func (w *SimWorker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}
