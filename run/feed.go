package run

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// WorkerList is the pool's part of the list of workers.
type WorkerList struct {
	Workers map[tw.WorkerID]tw.WorkerEntry
	// Settled says since when the store has been reachable without a break;
	// entries may be missing for a while after that.
	Settled time.Time
}

// SetWorkers hands over a new list of workers.
func (o *Owner) SetWorkers(ctx context.Context, list WorkerList) {
	o.post(ctx, func() { o.setWorkers(list) })
}

// follow takes up the directions of the one who moves machines.
func (o *Owner) follow(d Directions) {
	machines := make(map[tw.InstanceID]bool, len(d.Vacate))
	for _, id := range d.Vacate {
		machines[id] = true
	}
	o.setVacate(machines)
	for _, id := range d.Gone {
		if w := o.workers[id]; w != nil {
			o.bury(w, orderedAway)
		}
		o.noteEnded(id) // also if it was not known here
	}
	for _, id := range d.Running {
		if w := o.workers[id]; o.runsAfterAll(id) && (w == nil || !w.listed) {
			o.readWorkers()
			return
		}
	}
}

func (o *Owner) setVacate(machines map[tw.InstanceID]bool) {
	o.vacate, o.vacateAt = machines, o.now
	for _, w := range o.workers {
		leaving := o.toBeEmptied(w)
		if leaving != w.leaving {
			o.log.Info("worker: to be emptied", zap.String("worker", string(w.entry.ID)), zap.Bool("wanted", leaving),
				zap.Int("runs", len(w.runs)))
			o.placeSoon = true
		}
		w.leaving = leaving
	}
}

// vacateTime is how long machines are kept empty for a manager that no longer
// asks for it. It asks several times a second.
const vacateTime = 2 * time.Second

func (o *Owner) setWorkers(list WorkerList) {
	o.feedAt = list.Settled
	for _, id := range slices.Sorted(maps.Keys(list.Workers)) {
		if life, ended := o.ended[id]; ended && life.isOver(list.Workers[id]) {
			life.seen = o.now
			o.ended[id] = life
			continue
		}
		delete(o.ended, id)
		o.setWorker(list.Workers[id])
	}
	maps.DeleteFunc(o.ended, func(_ tw.WorkerID, life endedLife) bool { return o.now.Sub(life.seen) > endedKept })
	for id, w := range o.workers {
		if _, listed := list.Workers[id]; listed {
			continue
		}
		if w.listed {
			w.listed = false
			w.missingFrom = o.now
			o.log.Info("worker: no longer listed", zap.String("worker", string(id)), zap.Int("runs", len(w.runs)))
		}
	}
	o.placeSoon = true
}

func (o *Owner) setWorker(entry tw.WorkerEntry) {
	w := o.workers[entry.ID]
	if w == nil {
		w = o.addWorker(entry)
	}
	if w.born != 0 && entry.Born != 0 && entry.Born < w.born {
		w.listed = true
		return // an account of a former life
	}
	if w.born != 0 && entry.Born > w.born {
		w = o.beginLife(w, entry)
	}
	if entry.Draining && !w.entry.Draining {
		o.log.Info("worker: draining", zap.String("worker", string(entry.ID)),
			zap.Duration("remaining", entry.Remaining), zap.Int("runs", len(w.runs)))
	}
	if w.session.ref != entry.Ref() {
		// The list of machines knew it before its own entry gave its address.
		w.session.close()
		w.session = newSession(o, entry.Ref())
		w.starts = 0 // what the former session had is given up
		w.looking = false
		w.nextLook = o.now
	}
	if w.entry.Instance != entry.Instance {
		o.dropLife(w)
		w.entry.Instance, w.rivalFrom = entry.Instance, time.Time{}
		o.addLife(w)
		o.noteRivals(w)
	}
	w.entry = entry
	w.listed = true
	w.leaving = o.toBeEmptied(w)
}

func (o *Owner) addWorker(entry tw.WorkerEntry) *worker {
	w := &worker{
		entry: entry, born: entry.Born, listed: true, runs: map[runKey]*runState{}, rank: o.freeRank(), usage: o.caps.usage,
		// Whoever owned the pool before may have prolonged what runs there
		// until its permit ended. Workers that really are new answer their first
		// look at once, so that this costs nothing.
		doubtUntil: o.takenAt.Add(permitTime + o.holdBound()),
	}
	w.inheritedDoubt = o.now.Before(w.doubtUntil)
	w.session = newSession(o, entry.Ref())
	o.workers[entry.ID] = w
	o.ranks[w.rank] = true
	o.byPlace = nil
	o.addLife(w)
	o.noteRivals(w)
	o.log.Info("worker: listed", zap.String("worker", string(entry.ID)), zap.String("instance", string(entry.Instance)),
		zap.String("rack", string(entry.Rack())), zap.Int64("cpu", int64(entry.Capacity.CPU)))
	return w
}

// holdBound is the local time for which a hold can keep work alive.
func (o *Owner) holdBound() time.Duration {
	return time.Duration(float64(o.bounds.MaxHold)*clockDrift) + grantMargin
}

// freeRank is the lowest rank that no worker has, so that ranks stay stable.
func (o *Owner) freeRank() int {
	rank := 0
	for o.ranks[rank] {
		rank++
	}
	return rank
}

// watchWorkers resolves doubts about workers that do not answer.
func (o *Owner) watchWorkers() time.Time {
	var next time.Time
	o.followEvacuations()
	if len(o.vacate) > 0 && o.now.Sub(o.vacateAt) > vacateTime {
		o.setVacate(nil)
	}
	if !o.counted {
		// The census takes no wish for a list while it has one that is nearly new, be
		// that from before the takeover.
		o.census.Want(o.now)
		next = o.now.Add(censusGap / 4)
	}
	for _, w := range o.workers {
		if !w.listed && o.mayDrop(w) {
			o.forget(w, "not listed any more, and nothing of it is left")
			continue
		}
		doubted := !w.doubtFrom().IsZero()
		if w.known && !doubted {
			continue
		}
		if doubted {
			o.census.Want(o.now)
		}
		if !w.doubtUntil.IsZero() && !o.now.Before(w.doubtUntil) {
			if !w.listed || w.unanswered > 0 || !w.known {
				o.expire(w)
			}
		}
		next = earlier(next, o.now.Add(lookRetry))
	}
	o.consultCensus()
	if next.IsZero() {
		return o.now.Add(confirmEvery)
	}
	return next
}

// mayDrop tells whether an unlisted worker needs no more attention.
func (o *Owner) mayDrop(w *worker) bool {
	missing := o.now.Sub(w.missingFrom) > goneAfter && o.now.Sub(o.feedAt) > goneAfter
	if !missing || len(w.runs) > 0 || w.inheritedDoubt {
		return false
	}
	return w.told >= w.seen || w.unanswered > 2
}

// expire drops the runs of a worker that has not answered until everything
// that was granted there has run out.
func (o *Owner) expire(w *worker) {
	if len(w.runs) == 0 && !w.inheritedDoubt {
		return
	}
	o.log.Info("worker: all that ran there has lapsed", zap.String("worker", string(w.entry.ID)),
		zap.Duration("silent", o.now.Sub(w.silentFrom)), zap.Int("runs", len(w.runs)))
	w.inheritedDoubt = false
	w.known = false // it must be looked at before it is used again
	o.blame(w, false)
	for _, r := range w.runs {
		o.runGone(r, "lapsed on a silent worker")
	}
	o.placeSoon = true
}

// inheritedDoubts tells whether runs of the former owner may be on workers
// that have not answered.
func (o *Owner) inheritedDoubts() bool {
	if !o.counted && o.now.Before(o.takenAt.Add(permitTime+o.holdBound())) {
		o.census.Want(o.now)
		return true
	}
	for _, w := range o.workers {
		if w.inheritedDoubt {
			return true
		}
	}
	return false
}
