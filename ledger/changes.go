package ledger

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// AcceptSubmission is the change that keeps a new submission.
func AcceptSubmission(s *tw.Submission) Change {
	key := SubmissionKey(s.ID)
	record := Record{Pool: s.Policy.Pool, Submission: s, Organisation: s.Organisation}
	return Change{Create: key, Puts: []tw.KVPut{{Key: key, Value: mustEncode(record)}}}
}

// SaveProgress is the change that keeps the progress of a submission.
func SaveProgress(pool tw.PoolID, id tw.SubmissionID, p *Progress) Change {
	return Change{Puts: []tw.KVPut{{Key: ProgressKey(pool, id), Value: mustEncode(p)}}}
}

// EndSubmission is the change that ends a submission: its state replaces its steps, and
// its progress is dropped. left is what of it still runs and is being stopped.
func EndSubmission(pool tw.PoolID, s *tw.Submission, state tw.SubmissionState, left tw.Resources) Change {
	id := s.ID
	record := Record{Pool: pool, Final: state, Organisation: s.Organisation, Stopping: left}
	return Change{
		Puts:    []tw.KVPut{{Key: SubmissionKey(id), Value: mustEncode(record)}},
		Removes: []tw.Key{ProgressKey(pool, id)},
	}
}

// DeleteSubmission is the change that drops an ended submission for good.
func DeleteSubmission(id tw.SubmissionID) Change {
	return Change{Removes: []tw.Key{SubmissionKey(id)}}
}

// RemoveMessage is the change that takes a message out of the inbox.
func RemoveMessage(pool tw.PoolID, m InboxRecord) Change {
	return Change{Removes: []tw.Key{InboxKey(pool, m)}}
}

// SaveWaveProgress is the change that keeps the progress of a maintenance wave.
func SaveWaveProgress(wave int64, p WaveProgress) Change {
	return Change{Puts: []tw.KVPut{{Key: waveKey(wave), Value: mustEncode(p)}}}
}

// RecordOrders is the change that keeps which machines were changed when.
func RecordOrders(orders map[tw.InstanceID]time.Time) Change {
	return Change{Puts: []tw.KVPut{{Key: ordersKey, Value: mustEncode(orders)}}}
}

// AcceptViaInbox is the transaction by which a daemon that cannot reach the
// pool's owner keeps a submission itself and leaves word for the owner.
func AcceptViaInbox(s *tw.Submission) tw.KVTxn {
	accept := AcceptSubmission(s)
	message := InboxRecord{Kind: InboxSubmitted, ID: s.ID}
	return tw.KVTxn{
		Conditions: []tw.KVCondition{{Key: accept.Create}},
		Puts:       append(accept.Puts, tw.KVPut{Key: InboxKey(s.Policy.Pool, message), Value: mustEncode(message)}),
	}
}

// CancelViaInbox is the transaction by which a daemon that cannot reach the pool's
// owner asks it to cancel a submission.
func CancelViaInbox(pool tw.PoolID, id tw.SubmissionID) tw.KVTxn {
	message := InboxRecord{Kind: InboxCancel, ID: id}
	return tw.KVTxn{Puts: []tw.KVPut{{Key: InboxKey(pool, message), Value: mustEncode(message)}}}
}
