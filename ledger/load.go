package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// LoadedSubmission is a submission of a pool as it stands in the store.
	LoadedSubmission struct {
		ID       tw.SubmissionID
		Record   Record
		Progress Progress
		// InInbox: the message by which another daemon kept it is still there, so
		// that no owner has started anything of it.
		InInbox bool
		// CancelInInbox: so is a cancel that another daemon has answered.
		CancelInInbox bool
	}
)

// Load reads the submissions of the book's pool and their progress. Both are
// read at the same time, as the pool stands still meanwhile and a slow store
// takes a quarter of a second for each call; nobody else writes them. A record that can't
// be read is set aside, with its submission, and stays as it is.
func (b *Book) Load(ctx context.Context) ([]LoadedSubmission, error) {
	var progress map[tw.SubmissionID]Progress
	var unreadable map[tw.SubmissionID]bool
	var progressErr error
	var wg sync.WaitGroup
	wg.Go(func() { progress, unreadable, progressErr = b.loadProgress(ctx) })
	items, _, err := b.kv.Range(ctx, submissionPrefix)
	wg.Wait()
	if err != nil {
		return nil, errors.Wrap(err, "ledger.Load: submissions")
	}
	if progressErr != nil {
		return nil, progressErr
	}
	// Read after the submissions, so that of none that stands among them the
	// message is missed.
	inbox, err := b.loadInbox(ctx)
	if err != nil {
		return nil, err
	}
	var out []LoadedSubmission
	for _, item := range items {
		record, err := DecodeRecord(item)
		if err != nil {
			b.logUnreadable(err)
			continue
		}
		id := submissionIDFromKey(item.Key, submissionPrefix)
		if record.Pool != b.owner.Pool || unreadable[id] {
			continue
		}
		out = append(out, LoadedSubmission{
			ID: id, Record: record, Progress: progress[id],
			InInbox: inbox[InboxRecord{Kind: InboxSubmitted, ID: id}], CancelInInbox: inbox[InboxRecord{Kind: InboxCancel, ID: id}],
		})
	}
	return out, nil
}

func (b *Book) loadProgress(ctx context.Context) (out map[tw.SubmissionID]Progress, unreadable map[tw.SubmissionID]bool, err error) {
	prefix := poolProgressPrefix(b.owner.Pool)
	items, _, err := b.kv.Range(ctx, prefix)
	if err != nil {
		return nil, nil, errors.Wrap(err, "ledger.Load: progress")
	}
	out = make(map[tw.SubmissionID]Progress, len(items))
	unreadable = map[tw.SubmissionID]bool{}
	for _, item := range items {
		var p Progress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			b.logUnreadable(errors.Wrapf(err, "ledger.Load: %s", item.Key))
			unreadable[submissionIDFromKey(item.Key, prefix)] = true
			continue
		}
		out[submissionIDFromKey(item.Key, prefix)] = p
	}
	return out, unreadable, nil
}

// logUnreadable tells of a record that can't be read. Without its progress a submission must
// not be started: what is done would be done again.
func (b *Book) logUnreadable(err error) {
	b.log.Error("ledger: record set aside", zap.String("pool", string(b.owner.Pool)), logsink.Err(err))
}

// loadInbox lists the messages of the inbox.
func (b *Book) loadInbox(ctx context.Context) (map[InboxRecord]bool, error) {
	items, _, err := b.kv.Range(ctx, InboxPrefix(b.owner.Pool))
	if err != nil {
		return nil, errors.Wrap(err, "ledger.Load: inbox")
	}
	out := map[InboxRecord]bool{}
	for _, item := range items {
		message, err := DecodeInbox(item)
		if err != nil {
			b.logUnreadable(err)
			continue
		}
		out[message] = true
	}
	return out, nil
}

// FindSubmission reads one submission, of whatever pool. It fails with ErrNotFound.
func FindSubmission(ctx context.Context, kv tw.KV, id tw.SubmissionID) (Record, error) {
	item, err := kv.Get(ctx, SubmissionKey(id))
	if err != nil {
		return Record{}, err
	}
	return DecodeRecord(item)
}

// FindProgress reads how far a submission is; none is no error.
func FindProgress(ctx context.Context, kv tw.KV, pool tw.PoolID, id tw.SubmissionID) (Progress, error) {
	return getDecoded[Progress](ctx, kv, ProgressKey(pool, id))
}

// FindWave reads the progress of a maintenance wave; none is no error.
func FindWave(ctx context.Context, kv tw.KV, wave int64) (WaveProgress, error) {
	return getDecoded[WaveProgress](ctx, kv, waveKey(wave))
}

// FindOrders reads which machines were changed lately; none is no error.
func FindOrders(ctx context.Context, kv tw.KV) (map[tw.InstanceID]time.Time, error) {
	return getDecoded[map[tw.InstanceID]time.Time](ctx, kv, ordersKey)
}

// getDecoded reads what stands under a key; none is no error.
func getDecoded[T any](ctx context.Context, kv tw.KV, key tw.Key) (T, error) {
	item, err := getItem(ctx, kv, key)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](item)
}

// getItem reads a key; where there is none, the item has no revision.
func getItem(ctx context.Context, kv tw.KV, key tw.Key) (tw.KVItem, error) {
	item, err := kv.Get(ctx, key)
	if errors.Is(err, tw.ErrNotFound) {
		return tw.KVItem{Key: key}, nil
	}
	return item, err
}

// decode reads an item; one without a revision stands for none.
func decode[T any](item tw.KVItem) (T, error) {
	var out T
	if item.Revision == 0 {
		return out, nil
	}
	err := json.Unmarshal(item.Value, &out)
	return out, errors.Wrapf(err, "ledger: %s", item.Key)
}

// DecodeInbox reads a message that a daemon left for an owner.
func DecodeInbox(item tw.KVItem) (InboxRecord, error) {
	var m InboxRecord
	err := json.Unmarshal(item.Value, &m)
	return m, errors.Wrapf(err, "ledger: %s", item.Key)
}

// DecodeOwner reads who owns a pool.
func DecodeOwner(item tw.KVItem) (Owner, error) {
	var o Owner
	err := json.Unmarshal(item.Value, &o)
	return o, errors.Wrapf(err, "ledger: %s", item.Key)
}

// DecodeRecord reads a submission as stored.
func DecodeRecord(item tw.KVItem) (Record, error) {
	var r Record
	err := json.Unmarshal(item.Value, &r)
	return r, errors.Wrapf(err, "ledger: %s", item.Key)
}
