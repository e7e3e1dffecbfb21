package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// KVConfig configures a KV.
	KVConfig struct {
		Clock tw.Clock
		// Latency delays each call.
		Latency time.Duration
	}

	// KV is an in-memory metadata store with injectable faults. It implements tw.KV.
	KV struct {
		config KVConfig

		mu       sync.Mutex
		revision tw.KVRevision
		items    map[tw.Key]tw.KVItem
		history  []tw.KVEvent
		// compactedRevision is the last revision that was dropped from the history.
		compactedRevision tw.KVRevision
		leases            map[tw.KVLeaseID]time.Time
		lastLease         tw.KVLeaseID
		changed           chan struct{} // closed and replaced at each change
		faults            KVFaults
		lateTxns          []tw.KVTxn
		calls             int
	}

	// KVFaults are the faults that a KV injects.
	KVFaults struct {
		// Down makes every call fail with tw.ErrUnavailable.
		Down bool `json:"down"`
		// RateLimited makes every call fail with tw.ErrRateLimited.
		RateLimited bool `json:"limited"`
		// LoseAnswers is how many of the next writes lose their answers after they take
		// effect.
		LoseAnswers int `json:"lose_answers"`
		// LateWrites is how many of the next writes get no answer and wait for
		// ApplyLateWrites.
		LateWrites int `json:"late_writes"`
		// CallTimeout is how long the callers of such writes wait before they fail; zero means
		// not at all.
		CallTimeout time.Duration `json:"call_timeout"`
		// MuteWatches makes watches return no events and no error.
		MuteWatches bool `json:"mute_watches"`
		// Slow is added to the latency of each call.
		Slow time.Duration `json:"slow"`
	}
)

var _ tw.KV = (*KV)(nil)

// New returns an empty store.
func (c KVConfig) New() *KV {
	if c.Clock == nil {
		c.Clock = tw.SystemClock{}
	}
	return &KV{
		config: c, items: map[tw.Key]tw.KVItem{}, leases: map[tw.KVLeaseID]time.Time{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// ApplyLateWrites applies the writes withheld by LateWrites whose conditions hold.
func (k *KV) ApplyLateWrites() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, txn := range k.lateTxns {
		_, _ = k.apply(txn) // the caller has already got an ambiguous result
	}
	k.lateTxns = nil
}

// CompactHistory drops the history, so that watches from earlier revisions fail.
func (k *KV) CompactHistory() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history = nil
	k.compactedRevision = k.revision
	k.notifyChanged()
}

// RevokeLeases ends all leases early.
func (k *KV) RevokeLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.leases {
		k.endLease(id)
	}
}

// Calls returns the number of calls so far.
func (k *KV) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// Put writes a key without conditions, as operators and workers do.
func (k *KV) Put(key tw.Key, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = k.apply(tw.KVTxn{Puts: []tw.KVPut{{Key: key, Value: value}}}) // cannot fail without conditions and leases
}

// Remove removes a key, as operators and workers do.
func (k *KV) Remove(key tw.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = k.apply(tw.KVTxn{Removes: []tw.Key{key}}) // cannot fail without conditions and leases
}

// Get implements tw.KV.
func (k *KV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	if err := k.begin(ctx); err != nil {
		return tw.KVItem{}, err
	}
	defer k.mu.Unlock()
	item, found := k.items[key]
	if !found {
		return tw.KVItem{}, tw.ErrNotFound
	}
	return item, nil
}

// Range implements tw.KV.
func (k *KV) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	if err := k.begin(ctx); err != nil {
		return nil, 0, err
	}
	defer k.mu.Unlock()
	var out []tw.KVItem
	for key, item := range k.items {
		if strings.HasPrefix(string(key), string(prefix)) {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b tw.KVItem) int { return cmp.Compare(a.Key, b.Key) })
	return out, k.revision, nil
}

// Watch implements tw.KV.
func (k *KV) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	deadline := k.config.Clock.After(wait)
	for {
		if err := k.begin(ctx); err != nil {
			return nil, 0, err
		}
		if after < k.compactedRevision {
			k.mu.Unlock()
			return nil, 0, tw.ErrHistoryGone
		}
		events := k.eventsSince(prefix, after)
		if k.faults.MuteWatches {
			events = nil
		}
		at, changed := k.revision, k.changed
		k.mu.Unlock()
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, errors.Wrap(tw.ErrAmbiguous, "standin: watch cancelled")
		}
	}
}

// Commit implements tw.KV.
func (k *KV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	if n := len(txn.Conditions) + len(txn.Puts) + len(txn.Removes); n > tw.MaxTxnEntries {
		return 0, errors.Newf("standin: %d entries in a transaction", n)
	}
	revision, wait, err := k.commit(ctx, txn)
	if wait > 0 {
		select {
		case <-k.config.Clock.After(wait):
		case <-ctx.Done():
		}
	}
	return revision, err
}

// commit commits a transaction. wait is the time for which its caller gets no answer.
func (k *KV) commit(ctx context.Context, txn tw.KVTxn) (revision tw.KVRevision, wait time.Duration, err error) {
	if err := k.begin(ctx); err != nil {
		return 0, 0, err
	}
	defer k.mu.Unlock()
	if k.faults.LateWrites > 0 {
		k.faults.LateWrites--
		k.lateTxns = append(k.lateTxns, txn)
		return 0, k.faults.CallTimeout, errors.Wrap(tw.ErrAmbiguous, "standin: late write")
	}
	revision, err = k.apply(txn)
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		return 0, k.faults.CallTimeout, errors.Wrap(tw.ErrAmbiguous, "standin: lost answer")
	}
	return revision, 0, err
}

// Grant implements tw.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (tw.KVLeaseID, time.Duration, error) {
	if err := k.begin(ctx); err != nil {
		return 0, 0, err
	}
	defer k.mu.Unlock()
	k.lastLease++
	k.leases[k.lastLease] = k.config.Clock.Now().Add(ttl)
	return k.lastLease, ttl, nil
}

// Renew implements tw.KV. A renewed lease lasts renewedTTL from now.
func (k *KV) Renew(ctx context.Context, lease tw.KVLeaseID) error {
	if err := k.begin(ctx); err != nil {
		return err
	}
	defer k.mu.Unlock()
	if _, found := k.leases[lease]; !found {
		return tw.ErrNotFound
	}
	k.leases[lease] = k.config.Clock.Now().Add(renewedTTL)
	return nil
}

// renewedTTL is the TTL of a renewed lease, regardless of the TTL that it was granted with.
const renewedTTL = 1500 * time.Millisecond

// Revoke implements tw.KV.
func (k *KV) Revoke(ctx context.Context, lease tw.KVLeaseID) error {
	if err := k.begin(ctx); err != nil {
		return err
	}
	defer k.mu.Unlock()
	k.endLease(lease)
	return nil
}

// begin waits for the latency, expires leases and applies the faults. If it succeeds, k.mu
// is held.
func (k *KV) begin(ctx context.Context) error {
	k.mu.Lock()
	latency := k.config.Latency + k.faults.Slow
	k.mu.Unlock()
	if latency > 0 {
		select {
		case <-k.config.Clock.After(latency):
		case <-ctx.Done():
			return errors.Wrap(tw.ErrAmbiguous, "standin: call cancelled")
		}
	}
	k.mu.Lock()
	k.calls++
	now := k.config.Clock.Now()
	for id, until := range k.leases {
		if now.After(until) {
			k.endLease(id)
		}
	}
	switch {
	case k.faults.Down:
		k.mu.Unlock()
		return errors.Wrap(tw.ErrUnavailable, "standin: store is down")
	case k.faults.RateLimited:
		k.mu.Unlock()
		return errors.Wrap(tw.ErrRateLimited, "standin: store is rate limited")
	}
	return nil
}

func (k *KV) apply(txn tw.KVTxn) (tw.KVRevision, error) {
	if conflict := k.checkConditions(txn.Conditions); conflict != nil {
		return 0, conflict
	}
	for _, put := range txn.Puts {
		if _, found := k.leases[put.Lease]; put.Lease != 0 && !found {
			return 0, tw.ErrNotFound
		}
	}
	k.revision++
	for _, put := range txn.Puts {
		item := tw.KVItem{Key: put.Key, Value: slices.Clone(put.Value), Revision: k.revision, Lease: put.Lease}
		k.items[put.Key] = item
		k.history = append(k.history, tw.KVEvent{Item: item})
	}
	for _, key := range txn.Removes {
		k.remove(key)
	}
	k.notifyChanged()
	return k.revision, nil
}

func (k *KV) checkConditions(conditions []tw.KVCondition) error {
	conflict := &tw.KVConflictError{}
	failed := false
	for _, c := range conditions {
		item, found := k.items[c.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		failed = failed || item.Revision != c.Revision
	}
	if !failed {
		return nil
	}
	return conflict
}

func (k *KV) remove(key tw.Key) {
	if _, found := k.items[key]; !found {
		return
	}
	delete(k.items, key)
	k.history = append(k.history, tw.KVEvent{Item: tw.KVItem{Key: key, Revision: k.revision}, Removed: true})
}

func (k *KV) endLease(id tw.KVLeaseID) {
	delete(k.leases, id)
	k.revision++
	for key, item := range k.items {
		if item.Lease == id {
			k.remove(key)
		}
	}
	k.notifyChanged()
}

func (k *KV) eventsSince(prefix tw.Key, after tw.KVRevision) []tw.KVEvent {
	var out []tw.KVEvent
	for _, e := range k.history {
		if e.Item.Revision > after && strings.HasPrefix(string(e.Item.Key), string(prefix)) {
			out = append(out, e)
		}
	}
	return out
}

func (k *KV) notifyChanged() {
	close(k.changed)
	k.changed = make(chan struct{})
}
