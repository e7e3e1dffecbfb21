package run_test

import (
	"context"
	"slices"
	"strings"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// storeLink is a daemon's connection to the store.
	storeLink struct {
		tw.KV
		d *clusterDaemon
	}

	// orderLink is a daemon's connection to the workers.
	orderLink struct {
		tw.WorkerOrders
		d *clusterDaemon
	}

	// processClock is the clock of a process: its timers do not fire while the process is paused.
	processClock struct{ d *clusterDaemon }
)

// Commit implements tw.KV.
func (s storeLink) Commit(ctx context.Context, txn tw.KVTxn) (tw.KVRevision, error) {
	return through(ctx, s.d, toStore, stepsOf(txn), func(ctx context.Context) (tw.KVRevision, error) { return s.KV.Commit(ctx, txn) })
}

// stepsOf returns the steps that a transaction makes.
func stepsOf(txn tw.KVTxn) []protocolStep {
	var out []protocolStep
	has := func(items []string, parts ...string) bool {
		return slices.ContainsFunc(items, func(item string) bool {
			return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(item, part) })
		})
	}
	var puts, removes []string
	for _, put := range txn.Puts {
		puts = append(puts, string(put.Key)+" "+string(put.Value))
	}
	for _, key := range txn.Removes {
		removes = append(removes, string(key))
	}
	id := string(cancelledID)
	for _, made := range []struct {
		step protocolStep
		made bool
	}{
		{stepTake, has(puts, string(ledger.OwnerPrefix))},
		{stepCancel, has(puts, "tw/inbox/", id+".cancel")},
		{stepLeave, has(puts, "tw/inbox/", id+".submitted")},
		{stepEnd, has(puts, "tw/submission/"+id, `"final"`)},
		{stepSave, has(puts, "tw/progress/", id)},
		{stepRemove, has(removes, "tw/inbox/", id+".cancel")},
		{stepBegin, has(removes, "tw/inbox/", id+".submitted")},
	} {
		if made.made {
			out = append(out, made.step)
		}
	}
	if len(out) == 0 && has(puts, "tw/submission/"+id) {
		out = append(out, stepAccept)
	}
	return out
}

// Get implements tw.KV.
func (s storeLink) Get(ctx context.Context, key tw.Key) (tw.KVItem, error) {
	var steps []protocolStep
	if key == ledger.SubmissionKey(cancelledID) {
		steps = []protocolStep{stepFind}
	}
	return through(ctx, s.d, toStore, steps, func(ctx context.Context) (tw.KVItem, error) { return s.KV.Get(ctx, key) })
}

// rangeAnswer is the answer to a read or a watch of a prefix.
type rangeAnswer[T any] struct {
	items []T
	at    tw.KVRevision
}

// Range implements tw.KV.
func (s storeLink) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	steps := map[tw.Key][]protocolStep{"tw/submission/": {stepLoad}, ledger.InboxPrefix(pool): {stepInbox}}[prefix]
	answer, err := through(ctx, s.d, toStore, steps, func(ctx context.Context) (rangeAnswer[tw.KVItem], error) {
		items, at, err := s.KV.Range(ctx, prefix)
		return rangeAnswer[tw.KVItem]{items, at}, err
	})
	return answer.items, answer.at, err
}

// Watch implements tw.KV. A watch that is struck brings nothing.
func (s storeLink) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	answer, err := through(ctx, s.d, toStore, nil, func(ctx context.Context) (rangeAnswer[tw.KVEvent], error) {
		events, at, err := s.KV.Watch(ctx, prefix, after, wait)
		return rangeAnswer[tw.KVEvent]{events, at}, err
	})
	brings := func(e tw.KVEvent) bool {
		return !e.Removed && strings.Contains(string(e.Item.Key), string(cancelledID))
	}
	if err != nil || !slices.ContainsFunc(answer.items, brings) {
		return answer.items, answer.at, err
	}
	answer, err = through(ctx, s.d, toStore, []protocolStep{stepNotice}, func(context.Context) (rangeAnswer[tw.KVEvent], error) { return answer, nil })
	return answer.items, answer.at, err
}

// Start implements tw.WorkerOrders.
func (l orderLink) Start(ctx context.Context, to tw.WorkerRef, order tw.StartOrder) (tw.WorkerTime, error) {
	return through(ctx, l.d, toWorkers, stepOn(order.Subtask, stepStart), func(now context.Context) (tw.WorkerTime, error) {
		clock, err := l.WorkerOrders.Start(now, to, order)
		if err == nil && now == ctx {
			l.d.c.checkStart(l.d, order)
		}
		return clock, err
	})
}

// Stop implements tw.WorkerOrders.
func (l orderLink) Stop(ctx context.Context, to tw.WorkerRef, order tw.StopOrder) (tw.WorkerTime, error) {
	return through(ctx, l.d, toWorkers, stepOn(order.Subtask, stepStop), func(ctx context.Context) (tw.WorkerTime, error) {
		return l.WorkerOrders.Stop(ctx, to, order)
	})
}

// Hold implements tw.WorkerOrders.
func (l orderLink) Hold(ctx context.Context, to tw.WorkerRef, order tw.HoldOrder) (tw.HoldReport, error) {
	return through(ctx, l.d, toWorkers, nil, func(ctx context.Context) (tw.HoldReport, error) { return l.WorkerOrders.Hold(ctx, to, order) })
}

func stepOn(id tw.SubtaskID, step protocolStep) []protocolStep {
	if id.Submission != cancelledID {
		return nil
	}
	return []protocolStep{step}
}

// Now implements tw.Clock.
func (processClock) Now() time.Time { return time.Now() }

// After implements tw.Clock.
func (p processClock) After(after time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	var fire func()
	fire = func() {
		if rest := p.d.pauseLeft(); rest > 0 {
			time.AfterFunc(rest, fire)
			return
		}
		fired <- time.Now()
	}
	time.AfterFunc(after, fire)
	return fired
}

// pauseLeft returns the rest of the daemon's pause.
func (d *clusterDaemon) pauseLeft() time.Duration {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	if d.dead {
		return 0
	}
	return time.Until(d.pausedUntil)
}

// reaches waits while the process is paused, and reports whether it lives and reaches a link then.
func (d *clusterDaemon) reaches(ctx context.Context, l link) bool {
	for rest := d.pauseLeft(); rest > 0; rest = d.pauseLeft() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(rest):
		}
	}
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return !d.dead && !time.Now().Before(d.cutUntil[l])
}
