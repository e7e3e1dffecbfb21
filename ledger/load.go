package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// LoadedSubmission is a submission of a pool as read from the store.
	LoadedSubmission struct {
		ID       tw.SubmissionID
		Record   Record
		Progress Progress
		// InInbox means that the message of the daemon that stored the submission is
		// still in the inbox, so no owner has started any of its subtasks.
		InInbox bool
		// CancelInInbox means that the inbox has the notice of a confirmed cancel.
		CancelInInbox bool
	}
)

// Load reads the submissions of the book's pool and their progress. It reads both
// concurrently, because the pool is stopped in the meantime and a slow store takes a
// quarter of a second per call. Other daemons can only add new submissions, which have
// no progress yet. A submission with an unreadable record is skipped and the record is
// left unchanged.
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
	// Reading the inbox after the submissions ensures that no message of a loaded
	// submission is missed.
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

// loadProgress reads the progress of the pool's submissions. A submission whose progress is
// unreadable must not be started, as finished work would be done again.
func (b *Book) loadProgress(ctx context.Context) (out map[tw.SubmissionID]Progress, unreadable map[tw.SubmissionID]bool, err error) {
	prefix := poolProgressPrefix(b.owner.Pool)
	items, _, err := b.kv.Range(ctx, prefix)
	if err != nil {
		return nil, nil, errors.Wrap(err, "ledger.Load: progress")
	}
	out = make(map[tw.SubmissionID]Progress, len(items))
	unreadable = map[tw.SubmissionID]bool{}
	for _, item := range items {
		p, err := decodeProgress(item)
		if err != nil {
			b.logUnreadable(err)
			unreadable[submissionIDFromKey(item.Key, prefix)] = true
			continue
		}
		out[submissionIDFromKey(item.Key, prefix)] = p
	}
	return out, unreadable, nil
}

func (b *Book) logUnreadable(err error) {
	b.log.Error("ledger: skipping unreadable record", zap.String("pool", string(b.owner.Pool)), logsink.Err(err))
}

// loadInbox reads the set of messages in the inbox.
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

// FindSubmission reads one submission of any pool. It fails with ErrNotFound if there is none.
func FindSubmission(ctx context.Context, kv tw.KV, id tw.SubmissionID) (Record, error) {
	item, err := kv.Get(ctx, SubmissionKey(id))
	if err != nil {
		return Record{}, err
	}
	return DecodeRecord(item)
}

// FindProgress reads the progress of a submission, which is zero if none is stored.
func FindProgress(ctx context.Context, kv tw.KV, pool tw.PoolID, id tw.SubmissionID) (Progress, error) {
	item, err := getItem(ctx, kv, ProgressKey(pool, id))
	if err != nil || item.Revision == 0 {
		return Progress{}, err
	}
	return decodeProgress(item)
}

// FindWave reads the progress of a maintenance wave, which is zero if none is stored.
func FindWave(ctx context.Context, kv tw.KV, wave int64) (WaveProgress, error) {
	return getDecoded[WaveProgress](ctx, kv, waveKey(wave))
}

// FindOrders reads when machines were last changed; the map is nil if none is stored. It fails with
// ErrUnreadable if the record can't be decoded.
func FindOrders(ctx context.Context, kv tw.KV) (map[tw.InstanceID]time.Time, error) {
	return getDecoded[map[tw.InstanceID]time.Time](ctx, kv, ordersKey)
}

// getDecoded reads and decodes the value of a key, which is zero if the key does not exist.
func getDecoded[T any](ctx context.Context, kv tw.KV, key tw.Key) (T, error) {
	item, err := getItem(ctx, kv, key)
	if err != nil {
		var none T
		return none, err
	}
	return decode[T](item)
}

// getItem reads a key. The item has no revision if the key does not exist.
func getItem(ctx context.Context, kv tw.KV, key tw.Key) (tw.KVItem, error) {
	item, err := kv.Get(ctx, key)
	if errors.Is(err, tw.ErrNotFound) {
		return tw.KVItem{Key: key}, nil
	}
	return item, err
}

// decode decodes an item. The result is zero for an item without a revision.
func decode[T any](item tw.KVItem) (T, error) {
	var out T
	if item.Revision == 0 {
		return out, nil
	}
	err := unmarshal(item, &out)
	return out, err
}
