package ledger

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// AcceptSubmission returns the change that stores a new submission.
func AcceptSubmission(s *tw.Submission) Change {
	key := SubmissionKey(s.ID)
	record := Record{Pool: s.Policy.Pool, Submission: s, Organisation: s.Organisation}
	return Change{Create: key, Puts: []tw.KVPut{{Key: key, Value: mustEncode(record)}}}
}

const (
	// maxValueBytes is what the platform's store takes as a value.
	maxValueBytes = 1 << 20
	// maxRecordBytes leaves room for what a confirmed cancel adds to the record of a submission.
	maxRecordBytes = maxValueBytes - 1<<10
)

// Fits reports whether the store takes the record of a submission. A write with one that it does not take
// would be repeated for ever.
func Fits(s *tw.Submission) bool { return len(AcceptSubmission(s).Puts[0].Value) <= maxRecordBytes }

// SaveProgress returns the change that stores the progress of a submission. It leaves the checkpoints out if the
// store would not take them: that costs the next owner some work, while the write would be repeated for ever.
func SaveProgress(pool tw.PoolID, id tw.SubmissionID, p *Progress) Change {
	value := mustEncode(p)
	if len(value) > maxValueBytes {
		value = mustEncode(p.withoutCheckpoints())
	}
	return Change{Puts: []tw.KVPut{{Key: ProgressKey(pool, id), Value: value}}}
}

// EndSubmission returns the change that ends a submission: its record keeps the final state instead
// of the steps, and its progress is deleted. stopping holds the resources of its runs that are
// still being stopped.
func EndSubmission(pool tw.PoolID, s *tw.Submission, state tw.SubmissionState, stopping tw.Resources) Change {
	id := s.ID
	record := Record{Pool: pool, Final: state, Organisation: s.Organisation, Stopping: stopping}
	return Change{
		Puts:    []tw.KVPut{{Key: SubmissionKey(id), Value: mustEncode(record)}},
		Removes: []tw.Key{ProgressKey(pool, id)},
	}
}

// DeleteSubmission returns the change that deletes the record of an ended submission.
func DeleteSubmission(id tw.SubmissionID) Change {
	return Change{Removes: []tw.Key{SubmissionKey(id)}}
}

// RemoveMessage returns the change that removes a message from the inbox.
func RemoveMessage(pool tw.PoolID, m InboxRecord) Change {
	removes := []tw.Key{InboxKey(pool, m)}
	if m.Kind == InboxCancel {
		removes = append(removes, keptCancelKey(pool, m.ID))
	}
	return Change{Removes: removes}
}

// SaveWaveProgress returns the change that stores the progress of a maintenance wave.
func SaveWaveProgress(wave int64, p WaveProgress) Change {
	return Change{Puts: []tw.KVPut{{Key: waveKey(wave), Value: mustEncode(p)}}}
}

// RecordOrders returns the change that stores when machines were last changed.
func RecordOrders(orders map[tw.InstanceID]time.Time) Change {
	return Change{Puts: []tw.KVPut{{Key: ordersKey, Value: mustEncode(orders)}}}
}

// AcceptViaInbox returns the transaction by which a daemon that cannot reach the
// pool's owner stores a submission itself and leaves a message for the owner.
func AcceptViaInbox(s *tw.Submission) tw.KVTxn {
	accept := AcceptSubmission(s)
	message := InboxRecord{Kind: InboxSubmitted, ID: s.ID}
	return tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: accept.Create}},
		Puts:       append(accept.Puts, tw.KVPut{Key: InboxKey(s.Policy.Pool, message), Value: mustEncode(message)}),
	}
}

// ConfirmCancel returns the transaction by which a daemon that cannot reach the pool's owner cancels a
// submission that has not ended. The record tells every later owner, which reads it before it starts
// anything; the notice in the inbox tells the present one. There are two copies of the notice: an owner of
// an older version, which does not know the mark in the record, removes the first one before the end is
// recorded, and does not know the key of the other.
func ConfirmCancel(id tw.SubmissionID, record Record) tw.KVTxn {
	record.Cancelled = true
	return cancelTxn(id, record)
}

// CancelUnsubmitted returns the transaction that cancels a submission which the store does not have. A
// write under way that would store it fails afterwards.
func CancelUnsubmitted(pool tw.PoolID, organisation tw.OrganisationID, id tw.SubmissionID) tw.KVTxn {
	return cancelTxn(id, Record{Pool: pool, Final: tw.SubmissionCancelled, Organisation: organisation, Unsubmitted: true})
}

func cancelTxn(id tw.SubmissionID, record Record) tw.KVTxn {
	key, message := SubmissionKey(id), InboxRecord{Kind: InboxCancel, ID: id}
	notice := mustEncode(message)
	return tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: key, Revision: record.Revision}},
		Puts: []tw.KVPut{
			{Key: key, Value: mustEncode(record)},
			{Key: InboxKey(record.Pool, message), Value: notice}, {Key: keptCancelKey(record.Pool, id), Value: notice},
		},
	}
}
