package ledger

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// The records of this package may have been overwritten. A daemon that trusted one that it can't work
// with would end, and then each daemon that takes the pool over after it.

// maxFence limits the fencing token of a record. The run numbers of an owner, millions for each token,
// and the tokens of its successors do not overflow.
const maxFence tw.FencingToken = 1 << 39

// ErrUnreadable means that a record exists and cannot be decoded.
var ErrUnreadable = errors.New("unreadable record")

// unmarshal is json.Unmarshal with a short error, as that of json.Unmarshal may quote a long value.
func unmarshal(item tw.KVItem, into any) error {
	if err := json.Unmarshal(item.Value, into); err != nil {
		return errors.Wrapf(ErrUnreadable, "ledger: %s: %.200s", item.Key, err.Error())
	}
	return nil
}

// DecodeOwner decodes the owner record of a pool. It fails for a record under the key of another pool.
func DecodeOwner(item tw.KVItem) (Owner, error) {
	var o Owner
	if err := unmarshal(item, &o); err != nil {
		return Owner{}, err
	}
	if OwnerKey(o.Pool) != item.Key || !validFence(o.Fence) {
		return Owner{}, errors.Newf("ledger: %s: not the owner of this pool", item.Key)
	}
	return o, nil
}

func validFence(fence tw.FencingToken) bool { return 0 <= fence && fence <= maxFence }

// DecodeRecord decodes a stored submission. It fails for one with steps that would not have been
// accepted.
func DecodeRecord(item tw.KVItem) (Record, error) {
	var r Record
	if err := unmarshal(item, &r); err != nil {
		return Record{}, err
	}
	r.Revision = item.Revision
	switch {
	case r.Final != "" && !r.Final.Final():
		return Record{}, errors.Newf("ledger: %s: unknown final state %.20q", item.Key, string(r.Final))
	case r.Submission == nil:
		return r, nil
	case SubmissionKey(r.Submission.ID) != item.Key:
		return Record{}, errors.Newf("ledger: %s: not the key of the submission", item.Key)
	case len(r.Submission.Steps) == 0:
		return r, nil // nothing to do
	}
	if err := r.Submission.Validate(); err != nil {
		return Record{}, errors.Newf("ledger: %s: %.200s", item.Key, err.Error())
	}
	return r, nil
}

// DecodeInbox decodes an inbox message. It fails for one that is not under its key.
func DecodeInbox(item tw.KVItem) (InboxRecord, error) {
	var m InboxRecord
	if err := unmarshal(item, &m); err != nil {
		return InboxRecord{}, err
	}
	known := m.Kind == InboxSubmitted || m.Kind == InboxCancel
	key := strings.TrimSuffix(string(item.Key), keptSuffix)
	if !known || m.ID == "" || !strings.HasSuffix(key, string(InboxKey("", m)[len(inboxPrefix):])) {
		return InboxRecord{}, errors.Newf("ledger: %s: no message", item.Key)
	}
	return m, nil
}

// decodeProgress decodes the progress of a submission.
func decodeProgress(item tw.KVItem) (Progress, error) {
	var p Progress
	if err := unmarshal(item, &p); err != nil {
		return Progress{}, err
	}
	return p, errors.Wrapf(p.validate(), "ledger: %s", item.Key)
}

func (p *Progress) validate() error {
	if p.Finished < 0 {
		return errors.New("negative number of finished repetitions")
	}
	for _, r := range p.Repetitions {
		if r == nil || r.Steps == nil {
			return errors.New("empty repetition")
		}
		for _, s := range r.Steps {
			if s == nil {
				return errors.New("empty step")
			}
		}
	}
	return nil
}
