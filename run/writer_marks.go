package run

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tamarindworks/tamarindworks/ledger"
)

// Ends that a worker lists may be confirmed to it once all that they changed is in the
// store. Changes are numbered as they come, so that this is known of each end apart: an
// owner that confirmed ends only at moments when nothing was to be recorded confirmed none
// under load. 933 of 1,047 were not confirmed after 6 s of such a load (TestEndsAreConfirmedUnderLoad);
// their workers told of them at each look, and the successor had to take them up again.

type (
	// changeMark is the place of a submission's oldest change that is not recorded.
	changeMark struct {
		number int64
		at     time.Time
	}

	// endMark says that ends up to a sequence are recorded once all changes up to a number
	// are.
	endMark struct {
		sequence int64
		number   int64
	}
)

const (
	// oldChangeAge is how old a change is that is recorded before newer ones, agedShare the
	// part of a write that such changes may take: new submissions and ends, for which callers
	// wait, go before the rest.
	oldChangeAge     = 250 * time.Millisecond
	oldChangeEntries = ledger.MaxEntries / 2
)

// markDirty has the progress or the end of a submission recorded.
func (w *writer) markDirty(sub *submission) {
	if _, marked := w.dirty[sub]; marked {
		return
	}
	w.lastChange++
	w.dirty[sub] = changeMark{number: w.lastChange, at: w.o.now}
}

// restoreDirty marks submissions again whose changes were not written.
func (w *writer) restoreDirty(of map[*submission]changeMark) {
	for sub, mark := range of {
		w.dirty[sub] = mark
	}
}

// noteEnds notes that ends up to a sequence were taken up from a worker.
func (w *writer) noteEnds(worker *worker) {
	worker.unrecorded = append(worker.unrecorded, endMark{sequence: worker.seenEnd, number: w.lastChange})
	w.unconfirmedEnds[worker] = true
}

// confirmEnds notes which ends may be confirmed to their workers by now.
func (w *writer) confirmEnds() {
	if len(w.unconfirmedEnds) == 0 {
		return
	}
	open := w.lastChange + 1
	for _, marks := range []map[*submission]changeMark{w.dirty, w.sent} {
		for _, mark := range marks {
			open = min(open, mark.number)
		}
	}
	for worker := range w.unconfirmedEnds {
		for len(worker.unrecorded) > 0 && worker.unrecorded[0].number < open {
			worker.recordedEnd = max(worker.recordedEnd, worker.unrecorded[0].sequence)
			worker.unrecorded = worker.unrecorded[1:]
		}
		if len(worker.unrecorded) == 0 {
			delete(w.unconfirmedEnds, worker)
		}
	}
}

// addOldest adds the oldest changes, so that none waits for long behind newer ones.
func (w *writer) addOldest(job *writeJob, add addChange) {
	aged := func(sub *submission) bool { return w.o.now.Sub(w.dirty[sub].at) > oldChangeAge }
	w.addAll(job, func(change ledger.Change, effect func(err error)) bool {
		return job.size+change.Size() <= oldChangeEntries && add(change, effect)
	}, aged)
}

// addAll adds what is dirty of some submissions, the oldest change first, as far as it fits.
func (w *writer) addAll(job *writeJob, add addChange, of func(sub *submission) bool) {
	var subs []*submission
	for sub := range w.dirty {
		if sub.final != "" || w.o.submissions[sub.ID] != sub {
			delete(w.dirty, sub) // it was not kept, or another daemon kept it first
			continue
		}
		if _, under := w.sent[sub]; !under && of(sub) && !w.awaitingAccept(sub) {
			subs = append(subs, sub)
		}
	}
	slices.SortFunc(subs, func(a, b *submission) int { return cmp.Compare(w.dirty[a].number, w.dirty[b].number) })
	for _, sub := range subs {
		if !w.addDirty(sub, add) {
			return
		}
		job.changed[sub] = w.dirty[sub]
		w.sent[sub] = w.dirty[sub]
		delete(w.dirty, sub)
	}
}

// handleWriteResult takes up what a write has come to, in the chain or beside it.
func (w *writer) handleWriteResult(job writeJob, results []error, err error) {
	for sub := range job.changed {
		delete(w.sent, sub)
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
