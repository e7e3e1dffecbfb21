package ledger

import (
	"strconv"
	"strings"

	tw "github.com/tamarindworks/tamarindworks"
)

// Prefixes of the product's keys.
const (
	// OwnerPrefix holds who owns each pool; daemons watch it.
	OwnerPrefix tw.Key = "tw/member/owner/"
	// LivePrefix holds the live daemons, each under a lease.
	LivePrefix tw.Key = "tw/member/live/"
	// MemberPrefix covers both.
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
		Address string      `json:"address"` // of its peer service
		// Incarnation tells two lives of one daemon apart.
		Incarnation tw.Incarnation  `json:"life"`
		Fence       tw.FencingToken `json:"fence"`
	}

	// head is the record that chains an owner's writes.
	head struct {
		Fence       tw.FencingToken `json:"fence"`
		Daemon      tw.DaemonID     `json:"daemon"`
		Incarnation tw.Incarnation  `json:"life"`
		Count       int64           `json:"count"`
	}

	// Record is a submission as stored. Once it has ended only its state is
	// kept, so that the same id is never run again.
	Record struct {
		Pool       tw.PoolID          `json:"pool"`
		Submission *tw.Submission     `json:"submission,omitempty"`
		Final      tw.SubmissionState `json:"final,omitempty"`
		// Organisation is the submission's, also once it has ended.
		Organisation tw.OrganisationID `json:"organisation,omitempty"`
		// Stopping is what of it still ran when it ended, and was being stopped.
		Stopping tw.Resources `json:"left,omitzero"`
	}

	// InboxKind says what a daemon that could not reach a pool's owner left
	// for it in the store.
	InboxKind string

	// InboxRecord is one such message.
	InboxRecord struct {
		Kind InboxKind       `json:"kind"`
		ID   tw.SubmissionID `json:"id"`
	}

	// Progress is what has happened to a submission.
	Progress struct {
		// Finished counts the repetitions that are done, from the first on
		// without a gap; further ones stand in Repetitions.
		Finished    int                 `json:"finished,omitempty"`
		Repetitions map[int]*Repetition `json:"repetitions,omitempty"`
		// CancelRequested: the submission is being cancelled.
		CancelRequested bool `json:"cancel,omitempty"`
	}

	// Repetition is the progress of one repetition, by step.
	Repetition struct {
		Steps map[int]*StepProgress `json:"steps"`
	}

	// StepProgress is the progress of a step's subtasks, by index.
	StepProgress struct {
		Done Bitset `json:"done,omitempty"`
		// Failures are the runs that failed, so that none counts twice.
		Failures    map[int][]tw.RunNumber `json:"failures,omitempty"`
		Checkpoints map[int]tw.Checkpoint  `json:"saved,omitempty"`
		// Crashes counts the workers in a row that have ended soon after a subtask was
		// started there.
		Crashes map[int]int `json:"crashes,omitempty"`
		// UncountedStarts are subtasks that another owner may have started once more than Crashes
		// says.
		UncountedStarts map[int]bool `json:"uncounted,omitempty"`
	}

	// WaveProgress is what has come of a maintenance wave.
	WaveProgress struct {
		Done     []tw.InstanceID `json:"done"`
		Finished bool            `json:"finished"`
		// Pending are machines whose maintenance was ordered, or was to be, and of which
		// no answer is recorded.
		Pending []tw.InstanceID `json:"given,omitempty"`
	}

	// Bitset is a set of small numbers.
	Bitset []byte
)

// Kinds of inbox messages.
const (
	InboxSubmitted InboxKind = "submitted"
	InboxCancel    InboxKind = "cancel"
)

// OwnerKey is where a pool's owner stands.
func OwnerKey(pool tw.PoolID) tw.Key { return OwnerPrefix + tw.Key(pool) }

// LiveKey is where a daemon shows that it lives.
func LiveKey(daemon tw.DaemonID) tw.Key { return LivePrefix + tw.Key(daemon) }

// SubmissionKey is where a submission is kept. It does not depend on the
// pool, so that daemons with different configurations cannot both accept it.
func SubmissionKey(id tw.SubmissionID) tw.Key { return submissionPrefix + tw.Key(id) }

// InboxPrefix holds the messages for a pool's owner.
func InboxPrefix(pool tw.PoolID) tw.Key { return inboxPrefix + tw.Key(pool) + "/" }

// InboxKey is where a message for a pool's owner is left.
func InboxKey(pool tw.PoolID, m InboxRecord) tw.Key {
	return InboxPrefix(pool) + tw.Key(string(m.ID)+"."+string(m.Kind))
}

// ProgressKey is where the progress of a submission is kept.
func ProgressKey(pool tw.PoolID, id tw.SubmissionID) tw.Key {
	return poolProgressPrefix(pool) + tw.Key(id)
}

func poolProgressPrefix(pool tw.PoolID) tw.Key { return progressPrefix + tw.Key(pool) + "/" }

func headKey(pool tw.PoolID) tw.Key { return headPrefix + tw.Key(pool) }

func waveKey(wave int64) tw.Key { return wavePrefix + tw.Key(strconv.FormatInt(wave, 10)) }

func submissionIDFromKey(key, prefix tw.Key) tw.SubmissionID {
	return tw.SubmissionID(strings.TrimPrefix(string(key), string(prefix)))
}

// Has tells whether n is in the set.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Add puts n into the set.
func (b *Bitset) Add(n int) {
	for n/8 >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[n/8] |= 1 << (n % 8)
}

// Step finds or makes the progress of a step.
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

// All tells whether the numbers below n are all in the set.
func (b Bitset) All(n int) bool {
	for i := range n {
		if !b.Has(i) {
			return false
		}
	}
	return true
}
