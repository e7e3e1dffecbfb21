package ledger

import (
	"strconv"
	"strings"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// Keys and key prefixes in the store.
const (
	// OwnerPrefix is the prefix of the owner records of pools; daemons watch it.
	OwnerPrefix tw.Key = "tw/member/owner/"
	// LivePrefix is the prefix of the records of live daemons, each under a lease.
	LivePrefix tw.Key = "tw/member/live/"
	// MemberPrefix is the common prefix of OwnerPrefix and LivePrefix.
	MemberPrefix tw.Key = "tw/member/"

	headPrefix       tw.Key = "tw/head/"
	submissionPrefix tw.Key = "tw/submission/"
	progressPrefix   tw.Key = "tw/progress/"
	inboxPrefix      tw.Key = "tw/inbox/"
	wavePrefix       tw.Key = "tw/wave/"
	ordersKey        tw.Key = "tw/orders"
)

type (
	// Owner is the daemon that owns a pool.
	Owner struct {
		Pool    tw.PoolID   `json:"pool"`
		Daemon  tw.DaemonID `json:"daemon"`
		Address string      `json:"address"` // of the daemon's peer service
		// Incarnation distinguishes restarts of one daemon.
		Incarnation tw.Incarnation  `json:"life"`
		Fence       tw.FencingToken `json:"fence"`
	}

	// head is the record on whose revision each chained write of an owner is
	// conditional.
	head struct {
		Fence       tw.FencingToken `json:"fence"`
		Daemon      tw.DaemonID     `json:"daemon"`
		Incarnation tw.Incarnation  `json:"life"`
		Count       int64           `json:"count"`
	}

	// Record is a submission as stored. Once it has ended, its steps are dropped
	// but its state is kept, so that the same id is never run again.
	Record struct {
		Pool       tw.PoolID          `json:"pool"`
		Submission *tw.Submission     `json:"submission,omitempty"`
		Final      tw.SubmissionState `json:"final,omitempty"`
		// Cancelled: a cancel is confirmed and the end is still to be recorded. Nothing of the submission is
		// started any more, whoever owns the pool.
		Cancelled bool `json:"cancelled,omitempty"`
		// Unsubmitted: it was cancelled before it was stored. The record keeps a write under way from
		// storing it later.
		Unsubmitted bool `json:"unsubmitted,omitempty"`
		// Organisation owns the submission; it is kept after the end.
		Organisation tw.OrganisationID `json:"organisation,omitempty"`
		// Stopping holds the resources of the runs that were still being stopped when the
		// submission ended.
		Stopping tw.Resources `json:"left,omitzero"`
		// Revision is that of the item from which the record was decoded.
		Revision tw.KVRevision `json:"-"`
	}

	// InboxKind is the kind of an inbox message.
	InboxKind string

	// InboxRecord is a message that a daemon which could not reach the owner of a
	// pool left for it in the store.
	InboxRecord struct {
		Kind InboxKind       `json:"kind"`
		ID   tw.SubmissionID `json:"id"`
	}

	// Progress is the progress of a submission.
	Progress struct {
		// Finished counts the finished repetitions from the first one on without a
		// gap. Later ones are in Repetitions.
		Finished    int                 `json:"finished,omitempty"`
		Repetitions map[int]*Repetition `json:"repetitions,omitempty"`
		// CancelRequested means that the submission is being cancelled.
		CancelRequested bool `json:"cancel,omitempty"`
	}

	// Repetition is the progress of one repetition, by step.
	Repetition struct {
		Steps map[int]*StepProgress `json:"steps"`
	}

	// StepProgress is the progress of a step's subtasks, by index.
	StepProgress struct {
		Done Bitset `json:"done,omitempty"`
		// Failures lists the failed runs of each subtask, so that none is counted
		// twice.
		Failures    map[int][]tw.RunNumber `json:"failures,omitempty"`
		Checkpoints map[int]tw.Checkpoint  `json:"saved,omitempty"`
		// Crashes counts, for each subtask, the consecutive workers that ended soon
		// after it was started there, or may have.
		Crashes map[int]int `json:"crashes,omitempty"`
		// PrecountedStarts holds, for each subtask, those starts in Crashes that were
		// counted before they were ordered and of which no outcome is recorded. They may
		// never have been made.
		PrecountedStarts map[int][]PrecountedStart `json:"precounted,omitempty"`
		// UncountedStarts holds the subtasks that may have been started once more than Crashes
		// accounts for.
		UncountedStarts map[int]bool `json:"uncounted,omitempty"`
	}

	// PrecountedStart is a start that was counted as a crash before it was ordered. It can have
	// crashed no other worker than the one that it was meant for.
	PrecountedStart struct {
		Worker tw.WorkerID `json:"worker"`
		// StartTime identifies the incarnation of the worker; zero if workers report none.
		StartTime tw.WorkerStartTime `json:"born,omitempty"`
		Run       tw.RunNumber       `json:"run"`
	}

	// WaveProgress is the progress of a maintenance wave.
	WaveProgress struct {
		Done     []tw.InstanceID `json:"done"`
		Finished bool            `json:"finished"`
		// Pending lists the machines whose maintenance was ordered, or was about to be,
		// without a recorded answer.
		Pending []tw.InstanceID `json:"given,omitempty"`
		// FirstSeen is when a manager first saw the wave, from which its time counts; zero if it is not
		// recorded.
		FirstSeen time.Time `json:"firstSeen,omitzero"`
	}

	// Bitset is a set of small non-negative integers.
	Bitset []byte
)

// Kinds of inbox messages.
const (
	InboxSubmitted InboxKind = "submitted"
	InboxCancel    InboxKind = "cancel"
)

// OwnerKey is the key of a pool's owner record.
func OwnerKey(pool tw.PoolID) tw.Key { return OwnerPrefix + tw.Key(pool) }

// LiveKey is the key of a daemon's liveness record.
func LiveKey(daemon tw.DaemonID) tw.Key { return LivePrefix + tw.Key(daemon) }

// SubmissionKey is the key of a submission's record. It does not depend on the
// pool, so that daemons with different configurations cannot both accept a submission.
func SubmissionKey(id tw.SubmissionID) tw.Key { return submissionPrefix + tw.Key(id) }

// InboxPrefix is the prefix of the messages to a pool's owner.
func InboxPrefix(pool tw.PoolID) tw.Key { return inboxPrefix + tw.Key(pool) + "/" }

// InboxKey is the key of a message to a pool's owner.
func InboxKey(pool tw.PoolID, m InboxRecord) tw.Key {
	return InboxPrefix(pool) + tw.Key(string(m.ID)+"."+string(m.Kind))
}

// keptSuffix ends the key of the second copy of a notice of a cancel.
const keptSuffix = ".kept"

// keptCancelKey is the key of the second copy of a notice of a cancel.
func keptCancelKey(pool tw.PoolID, id tw.SubmissionID) tw.Key {
	return InboxKey(pool, InboxRecord{Kind: InboxCancel, ID: id}) + keptSuffix
}

// ProgressKey is the key of a submission's progress.
func ProgressKey(pool tw.PoolID, id tw.SubmissionID) tw.Key {
	return poolProgressPrefix(pool) + tw.Key(id)
}

func poolProgressPrefix(pool tw.PoolID) tw.Key { return progressPrefix + tw.Key(pool) + "/" }

func headKey(pool tw.PoolID) tw.Key { return headPrefix + tw.Key(pool) }

func waveKey(wave int64) tw.Key { return wavePrefix + tw.Key(strconv.FormatInt(wave, 10)) }

func submissionIDFromKey(key, prefix tw.Key) tw.SubmissionID {
	return tw.SubmissionID(strings.TrimPrefix(string(key), string(prefix)))
}

// Has reports whether n is in the set.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Add adds n to the set.
func (b *Bitset) Add(n int) {
	for n/8 >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[n/8] |= 1 << (n % 8)
}

// Step returns the progress of a step, which it creates if there is none.
func (p *Progress) Step(repetition, step int) *StepProgress {
	if p.Repetitions == nil {
		p.Repetitions = map[int]*Repetition{}
	}
	r := p.Repetitions[repetition]
	if r == nil {
		r = &Repetition{Steps: map[int]*StepProgress{}}
		p.Repetitions[repetition] = r
	}
	s := r.Steps[step]
	if s == nil {
		s = &StepProgress{}
		r.Steps[step] = s
	}
	return s
}

// withoutCheckpoints returns a copy of the progress that shares all but the checkpoints.
func (p *Progress) withoutCheckpoints() *Progress {
	out := *p
	out.Repetitions = make(map[int]*Repetition, len(p.Repetitions))
	for k, r := range p.Repetitions {
		steps := make(map[int]*StepProgress, len(r.Steps))
		for i, s := range r.Steps {
			step := *s
			step.Checkpoints = nil
			steps[i] = &step
		}
		out.Repetitions[k] = &Repetition{Steps: steps}
	}
	return &out
}

// Begun reports whether the progress shows that a subtask has been started. Starts that were counted
// before they were ordered do not show that.
func (p *Progress) Begun() bool {
	if p.Finished > 0 {
		return true
	}
	for _, r := range p.Repetitions {
		for _, s := range r.Steps {
			if s.begun() {
				return true
			}
		}
	}
	return false
}

func (s *StepProgress) begun() bool {
	if len(s.Done)+len(s.Failures)+len(s.Checkpoints) > 0 {
		return true
	}
	for index, crashes := range s.Crashes {
		if crashes > len(s.PrecountedStarts[index]) {
			return true
		}
	}
	return false
}

// All reports whether all numbers from 0 to n-1 are in the set.
func (b Bitset) All(n int) bool {
	for i := range n {
		if !b.Has(i) {
			return false
		}
	}
	return true
}
