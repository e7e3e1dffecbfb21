package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// WatcherConfig configures a Watcher.
	WatcherConfig struct {
		KV    tw.KV
		Clock tw.Clock
		Log   *zap.Logger
		// Metrics counts the watch calls by how they ended; it may be nil.
		Metrics *metrics.Set
		Prefix  tw.Key
		// Wait is the timeout of one watch call.
		Wait time.Duration
		// AnswerTimeout is how long after Wait the answer to a watch call may come. Without an answer
		// by then, all items are read again. Zero leaves it to KV.
		AnswerTimeout time.Duration
		// Gap is the pause after a watch call that returned changes. Each call has a
		// cost, so changes are batched.
		Gap time.Duration
		// ItemGap is added to Gap for each item below the prefix.
		ItemGap time.Duration
		// Changed is called with all items below the prefix as of a revision, after
		// the first read and after each change. It must not retain the map.
		Changed func(items map[tw.Key]tw.KVItem, at tw.KVRevision)
	}

	// Watcher maintains a copy of the items below a prefix. An item is replaced
	// only by one with a higher revision.
	Watcher struct {
		config WatcherConfig
		ended  watchCounters
		cancel context.CancelFunc
		done   chan struct{}

		mu sync.Mutex
		// answeringSince is the time since which the store has answered all calls; zero
		// while it does not answer.
		answeringSince time.Time
		// cancelWatch cancels the watch in progress.
		cancelWatch context.CancelFunc
		// lastRefresh is the time of the last effective Refresh.
		lastRefresh time.Time
	}

	// watchCounters count the watch calls of a watcher by how they ended.
	watchCounters struct {
		// changed brought changes, waited none after about Wait, early none before that.
		changed, waited, early *metrics.Counter
		// unanswered had no answer in time, refreshed was cancelled by Refresh, failed had an error.
		unanswered, refreshed, failed *metrics.Counter
	}
)

const (
	// minWatchRetry and maxWatchRetry are the bounds of the exponential
	// backoff after a failed call. It has jitter, so that daemons do not all
	// retry at the same time.
	minWatchRetry = 100 * time.Millisecond
	maxWatchRetry = 500 * time.Millisecond
	// minRefreshInterval is the minimum time between two reads triggered by Refresh.
	minRefreshInterval = 600 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watch calls, for a store
	// whose items change all the time.
	minWatchInterval = 20 * time.Millisecond
)

// errRefresh is the error of a watch after which all items are read again at once: it was cancelled by
// Refresh, had no answer in time, or had answers without changes that came too early.
var errRefresh = errors.New("watch cancelled by refresh")

// New starts watching. Close stops it.
func (c WatcherConfig) New() *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{config: c, ended: newWatchCounters(c.Metrics, c.Prefix), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

func newWatchCounters(set *metrics.Set, prefix tw.Key) watchCounters {
	if set == nil {
		set = metrics.NewSet()
	}
	counter := func(ended string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("tamarind_watch_calls_total{prefix=%q,ended=%q}", string(prefix), ended))
	}
	return watchCounters{
		changed: counter("changed"), waited: counter("waited"), early: counter("early"),
		unanswered: counter("unanswered"), refreshed: counter("refreshed"), failed: counter("failed"),
	}
}

// Close stops watching.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// AnsweringSince returns the time since which the store has answered without
// interruption; zero while it does not answer.
func (w *Watcher) AnsweringSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeringSince
}

// Refresh makes the watcher read all items again. It is called when the watch has
// evidently missed a change: watches can stop delivering events without an error.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Clock.Now()
	if w.cancelWatch == nil || now.Sub(w.lastRefresh) < minRefreshInterval {
		return
	}
	w.lastRefresh = now
	w.config.Log.Info("watch: events missed, reading all items again", zap.String("prefix", string(w.config.Prefix)))
	w.cancelWatch()
}

func (w *Watcher) run(ctx context.Context) {
	pause := minWatchRetry
	// backOff waits before the next call after one that failed or was answered too early.
	backOff := func() {
		jittered := pause/2 + rand.N(pause)
		pause = min(2*pause, maxWatchRetry)
		w.sleep(ctx, jittered)
	}
	for ctx.Err() == nil {
		err := w.follow(ctx, backOff, func() { pause = minWatchRetry })
		switch {
		case ctx.Err() != nil || errors.Is(err, errRefresh):
			continue
		case errors.Is(err, tw.ErrHistoryGone):
			w.config.Log.Info("watch: history is gone, reading all items again", zap.String("prefix", string(w.config.Prefix)))
		default:
			w.markFailing(err)
		}
		backOff()
	}
}

// sleep waits for d or until ctx ends.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.config.Clock.After(d):
	}
}

// follow reads all items and then watches for changes until a call fails. It calls onAnswer after a
// watch that was answered with changes or when it had waited, and backOff after one that was answered
// too early without any: such a store must not be called in a loop, and may leave changes out.
func (w *Watcher) follow(ctx context.Context, backOff, onAnswer func()) error {
	list, at, err := w.config.KV.Range(ctx, w.config.Prefix)
	if err != nil {
		return err
	}
	w.markAnswering()
	items := make(map[tw.Key]tw.KVItem, len(list))
	for _, item := range list {
		items[item.Key] = item
	}
	w.config.Changed(items, at)
	upToDate := w.config.Clock.Now()
	for {
		began := w.config.Clock.Now()
		events, next, err := w.watch(ctx, at)
		if err != nil {
			return err
		}
		at = max(at, next)
		now := w.config.Clock.Now()
		switch {
		case applyEvents(items, events):
			w.ended.changed.Inc()
			w.config.Changed(items, at)
			gap := w.config.Gap + time.Duration(len(items))*w.config.ItemGap
			w.sleep(ctx, max(gap, minWatchInterval-now.Sub(began)))
		case now.Sub(began) >= w.config.Wait/2:
			w.ended.waited.Inc()
		default:
			w.ended.early.Inc()
			if now.Sub(upToDate) >= w.config.Wait {
				w.config.Log.Info("watch: answered too early without changes, reading all items again", zap.String("prefix", string(w.config.Prefix)))
				return errRefresh
			}
			backOff()
			continue
		}
		onAnswer()
		upToDate = now
	}
}

// watch waits for changes. It fails with errRefresh if Refresh ended it, or if it had no answer in
// time.
func (w *Watcher) watch(ctx context.Context, at tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	if w.config.AnswerTimeout > 0 {
		var cancel context.CancelFunc
		watchCtx, cancel = context.WithTimeout(watchCtx, w.config.Wait+w.config.AnswerTimeout)
		defer cancel()
	}
	w.setCancelWatch(stop)
	defer w.setCancelWatch(nil)
	events, next, err := w.config.KV.Watch(watchCtx, w.config.Prefix, at, w.config.Wait)
	switch {
	case err == nil || ctx.Err() != nil:
		return events, next, err
	case errors.Is(watchCtx.Err(), context.DeadlineExceeded):
		w.ended.unanswered.Inc()
		w.config.Log.Info("watch: no answer in time, reading all items again", zap.String("prefix", string(w.config.Prefix)))
		return nil, 0, errRefresh
	case watchCtx.Err() != nil:
		w.ended.refreshed.Inc()
		return nil, 0, errRefresh
	case tw.TimedOut(err):
		w.ended.unanswered.Inc()
	default:
		w.ended.failed.Inc()
	}
	return nil, 0, err
}

func (w *Watcher) setCancelWatch(stop context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = stop
}

// applyEvents applies events to the items and reports whether any item changed.
func applyEvents(items map[tw.Key]tw.KVItem, events []tw.KVEvent) bool {
	changed := false
	for _, e := range events {
		have, found := items[e.Item.Key]
		if found && have.Revision >= e.Item.Revision {
			continue
		}
		changed = true
		if e.Removed {
			delete(items, e.Item.Key)
		} else {
			items[e.Item.Key] = e.Item
		}
	}
	return changed
}

func (w *Watcher) markAnswering() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answeringSince.IsZero() {
		w.answeringSince = w.config.Clock.Now()
		w.config.Log.Info("watch: store answers", zap.String("prefix", string(w.config.Prefix)))
	}
}

func (w *Watcher) markFailing(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.answeringSince.IsZero() {
		w.answeringSince = time.Time{}
		w.config.Log.Warn("watch: store does not answer", zap.String("prefix", string(w.config.Prefix)), logsink.Err(err))
	}
}
