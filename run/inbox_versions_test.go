package run_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// olderKV is the store as an owner of the version before writes it, which does not know for which
	// workers starts were counted before they were made.
	olderKV struct {
		tw.KV
		// dropped is the number of writes that lost this.
		dropped atomic.Int64
	}

	// versionOwner is one of several owners, one after the other.
	versionOwner struct {
		older bool
		// endsLost: the ends of submissions that it writes are not applied.
		endsLost bool
		end      func(r *rig, o *run.Owner)
	}
)

// Commit implements tw.KV.
func (k *olderKV) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	txn.Puts = slices.Clone(txn.Puts) // it is sent again
	for i, put := range txn.Puts {
		if !strings.HasPrefix(string(put.Key), "tw/progress/") {
			continue
		}
		var progress any
		if err := json.Unmarshal(put.Value, &progress); err != nil {
			return 0, err
		}
		if !dropField(progress, "precounted") {
			continue
		}
		k.dropped.Add(1)
		value, err := json.Marshal(progress)
		if err != nil {
			return 0, err
		}
		txn.Puts[i].Value = value
	}
	return k.KV.Commit(ctx, txn)
}

// Get implements tw.KV.
func (k *olderKV) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	item, err := k.KV.Get(ctx, key)
	return withoutMark(item), err
}

// Range implements tw.KV.
func (k *olderKV) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	items, at, err := k.KV.Range(ctx, prefix)
	for i, item := range items {
		items[i] = withoutMark(item)
	}
	return items, at, err
}

// withoutMark returns the record of a submission without the mark of a confirmed cancel, which an older
// owner does not know.
func withoutMark(item tw.KVItem) tw.KVItem {
	if !strings.HasPrefix(string(item.Key), "tw/submission/") {
		return item
	}
	var record map[string]any
	if json.Unmarshal(item.Value, &record) != nil || record["cancelled"] == nil {
		return item
	}
	delete(record, "cancelled")
	item.Value, _ = json.Marshal(record) // it was decoded from JSON
	return item
}

// dropField removes a field from a decoded JSON value at any depth. It reports whether there was one.
func dropField(value any, field string) bool {
	object, ok := value.(map[string]any)
	if !ok {
		return false
	}
	_, found := object[field]
	delete(object, field)
	for _, inner := range object {
		found = dropField(inner, field) || found
	}
	return found
}

// versionCases are owners of two versions, one after the other. The second one reads the request to
// cancel first.
var versionCases = map[string][]versionOwner{
	"newer killed, then older": {
		{end: inboxCancelCases["killed"]}, {endsLost: true, end: inboxCancelCases["killed"]}, {older: true},
	},
	"newer stopped, then older": {
		{end: inboxCancelCases["killed"]}, {endsLost: true, end: inboxCancelCases["stopped"]}, {older: true},
	},
	"older, newer killed, then older": {
		{older: true, end: inboxCancelCases["killed"]}, {endsLost: true, end: inboxCancelCases["killed"]}, {older: true},
	},
	"older, newer stopped, then older": {
		{older: true, end: inboxCancelCases["stopped"]}, {endsLost: true, end: inboxCancelCases["stopped"]}, {older: true},
	},
	"newer killed, then older killed": {
		{end: inboxCancelCases["killed"]}, {endsLost: true, end: inboxCancelCases["killed"]},
		{older: true, endsLost: true, end: inboxCancelCases["killed"]}, {},
	},
	"older stopped": {
		{end: inboxCancelCases["killed"]}, {older: true, endsLost: true, end: inboxCancelCases["stopped"]}, {},
	},
	"older, then two newer": {
		{older: true, end: inboxCancelCases["killed"]}, {endsLost: true, end: inboxCancelCases["stopped"]},
		{endsLost: true, end: inboxCancelCases["killed"]}, {},
	},
}

// TestInboxCancelSurvivesOlderOwners guards against a confirmed cancel that is lost during an upgrade: an
// older owner removes the request from the inbox as soon as it has read it, and drops fields of the
// progress that it does not know.
func TestInboxCancelSurvivesOlderOwners(t *testing.T) {
	for name, owners := range versionCases {
		runCase(t, name, 4, func(r *rig) {
			older := &olderKV{KV: r.kv}
			o := r.newOwner("a")
			s := submission("s1", 2, 2)
			s.Steps[0].Estimate, s.Steps[1].Estimate = 2*time.Second, 20*time.Second
			r.submit(o, s)
			r.Eventually(r.fleet.Starts, 10*time.Second).Should(Equal(2))
			o.Close()
			first := r.versionOwner("b", owners[0], older) // counts its starts before it makes them
			r.Eventually(r.fleet.Starts, 10*time.Second).Should(Equal(4))
			r.Expect(older.dropped.Load() > 0).To(Equal(owners[0].older))
			owners[0].end(r, first)
			var last *run.Owner
			for n, c := range owners[1:] {
				last = r.versionOwner(tw.DaemonID(string(rune('c'+n))), c, older)
				if c.end == nil {
					break
				}
				r.kv.SetFaults(standin.KVFaults{Slow: 200 * time.Millisecond}) // ends are written beside all else
				time.Sleep(2 * time.Second)
				if n == 0 {
					r.cancelViaInbox(last, "s1")
					r.removeRead(c)
					time.Sleep(2 * time.Second)
				}
				c.end(r, last)
				r.kv.SetFaults(standin.KVFaults{})
			}
			r.eventually(last, "s1", tw.SubmissionCancelled, 5*time.Second)
			time.Sleep(5 * time.Second)
			next := r.newOwner("z")
			r.eventually(next, "s1", tw.SubmissionCancelled, 5*time.Second)
			r.Expect(r.fleet.Starts()).To(Equal(4))
			r.expectInboxEmpty()
			r.expectNoViolations()
		})
	}
}

// versionOwner makes a daemon of a version the owner of the pool.
func (r *rig) versionOwner(daemon tw.DaemonID, c versionOwner, older tw.KV) *run.Owner {
	kv := tw.KV(r.kv)
	if c.older {
		kv = older
	}
	if c.endsLost {
		kv = lostEnds{kv}
	}
	o := r.newOwnerWith(daemon, kv, r.fleet)
	r.removeRead(c)
	return o
}

// removeRead removes the request to cancel as an older owner does that has read it.
func (r *rig) removeRead(c versionOwner) {
	if c.older {
		r.kv.Remove(ledger.InboxKey(pool, ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s1"}))
	}
}
