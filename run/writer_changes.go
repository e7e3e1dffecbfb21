package run

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarindworks/tamarindworks/ledger"
)

// An end that a worker reports may be acknowledged once all that it changed is in the store.
// Changes are numbered in order, so that this is known for each end. An owner that acknowledged
// ends only when there was nothing left to record would acknowledge hardly any under load. Their workers would report them
// again in each poll, and the successor had to handle them again.

type (
	// changeMark is the number and the time of a submission's oldest change that is not recorded.
	changeMark struct {
		number int64
		at     time.Time
	}

	// endMark says that the ends up to a sequence number are recorded once all changes up to a
	// change number are.
	endMark struct {
		sequence int64
		number   int64
	}
)

const (
	// oldChangeAge is the age from which a change is recorded before newer ones,
	// oldChangeEntries the part of a write that such changes may take. New submissions and
	// ends, for which callers wait, go before the rest.
	oldChangeAge     = 250 * time.Millisecond
	oldChangeEntries = ledger.MaxEntries / 2
)

// markDirty queues the progress or the end of a submission to be recorded.
func (w *writer) markDirty(sub *submission) {
	if _, marked := w.dirty[sub]; marked {
		return
	}
	w.lastChange++
	w.dirty[sub] = changeMark{number: w.lastChange, at: w.o.now}
}

// restoreDirty queues submissions again whose changes were not written.
func (w *writer) restoreDirty(changed map[*submission]changeMark) {
	for sub, mark := range changed {
		w.dirty[sub] = mark
	}
}

// noteEnds records that the ends of a worker handled so far depend on all changes so far.
func (w *writer) noteEnds(worker *worker) {
	worker.unrecorded = append(worker.unrecorded, endMark{sequence: worker.seenEnd, number: w.lastChange})
	w.workersWithUnrecordedEnds[worker] = true
}

// updateRecordedEnds updates the last recorded end of each worker, up to which its ends may be
// acknowledged.
func (w *writer) updateRecordedEnds() {
	if len(w.workersWithUnrecordedEnds) == 0 {
		return
	}
	oldest := w.lastChange + 1
	for _, marks := range []map[*submission]changeMark{w.dirty, w.inFlight} {
		for _, mark := range marks {
			oldest = min(oldest, mark.number)
		}
	}
	for worker := range w.workersWithUnrecordedEnds {
		for len(worker.unrecorded) > 0 && worker.unrecorded[0].number < oldest {
			worker.recordedEnd = max(worker.recordedEnd, worker.unrecorded[0].sequence)
			worker.unrecorded = worker.unrecorded[1:]
		}
		if len(worker.unrecorded) == 0 {
			delete(w.workersWithUnrecordedEnds, worker)
		}
	}
}

// addOldest adds the oldest changes, so that none waits for long behind newer ones.
func (w *writer) addOldest(job *writeJob, add addChange) {
	isOld := func(sub *submission) bool { return w.o.now.Sub(w.dirty[sub].at) > oldChangeAge }
	w.addAll(job, func(change ledger.Change, callback func(err error)) bool {
		return job.size+change.Size() <= oldChangeEntries && add(change, callback)
	}, isOld)
}

// addAll adds the changes of the selected dirty submissions, oldest first, as far as they fit.
func (w *writer) addAll(job *writeJob, add addChange, selected func(sub *submission) bool) {
	var subs []*submission
	for sub := range w.dirty {
		if sub.final != "" || w.o.submissions[sub.ID] != sub {
			delete(w.dirty, sub) // its end is recorded, the store refused it, or another daemon stored it first
			continue
		}
		if _, inFlight := w.inFlight[sub]; !inFlight && selected(sub) && !w.awaitingAccept(sub) {
			subs = append(subs, sub)
		}
	}
	slices.SortFunc(subs, func(a, b *submission) int { return cmp.Compare(w.dirty[a].number, w.dirty[b].number) })
	for _, sub := range subs {
		if !w.addDirty(sub, add) {
			return
		}
		job.changed[sub] = w.dirty[sub]
		w.inFlight[sub] = w.dirty[sub]
		delete(w.dirty, sub)
	}
}

// handleWriteResult handles the result of a write, sequential or concurrent.
func (w *writer) handleWriteResult(job writeJob, results []error, err error) {
	for sub := range job.changed {
		delete(w.inFlight, sub)
	}
	if err != nil {
		w.restoreDirty(job.changed)
	}
	switch {
	case errors.Is(err, ledger.ErrOwnershipLost):
		w.o.loseOwnership("the ledger has a new owner")
	case err != nil:
		w.writeFailed(job, err)
	default:
		w.writeSucceeded(job, results)
	}
}
