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

// SaveProgress returns the change that stores the progress of a submission.
func SaveProgress(pool tw.PoolID, id tw.SubmissionID, p *Progress) Change {
	return Change{Puts: []tw.KVPut{{Key: ProgressKey(pool, id), Value: mustEncode(p)}}}
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

// CancelViaInbox returns the transaction by which a daemon that cannot reach the pool's
// owner leaves a request to cancel a submission. There are two copies: an owner of an older version
// removes the first one before the end is recorded, and does not know the key of the other.
func CancelViaInbox(pool tw.PoolID, id tw.SubmissionID) tw.KVTxn {
	message := InboxRecord{Kind: InboxCancel, ID: id}
	value := mustEncode(message)
	return tw.KVTxn{Puts: []tw.KVPut{{Key: InboxKey(pool, message), Value: value}, {Key: keptCancelKey(pool, id), Value: value}}}
}
