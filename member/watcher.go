package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

type (
	// WatcherConfig configures a Watcher.
	WatcherConfig struct {
		KV     tw.KV
		Clock  tw.Clock
		Log    *zap.Logger
		Prefix tw.Key
		// Wait is how long one watch waits for changes.
		Wait time.Duration
		// Gap lets changes gather between two watches, as each is priced.
		Gap time.Duration
		// ItemGap is added to Gap for each item below the prefix.
		ItemGap time.Duration
		// Changed is called with all items below the prefix, as of a revision, after
		// each change and at the first read. It must not keep the map.
		Changed func(items map[tw.Key]tw.KVItem, at tw.KVRevision)
	}

	// Watcher follows the keys below a prefix. It never goes back: an item is
	// replaced only by one of a higher revision.
	Watcher struct {
		config WatcherConfig
		cancel context.CancelFunc
		done   chan struct{}

		mu sync.Mutex
		// answeringSince is since when every read has been answered; zero while not.
		answeringSince time.Time
		// cancelWatch ends the watch that is under way.
		cancelWatch context.CancelFunc
		// lastRefresh is when Refresh last had all items read anew.
		lastRefresh time.Time
	}
)

const (
	// watchRetryMin and watchRetryMost bound the pause after a failed read;
	// the pauses are jittered, so that daemons do not return all at once.
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = 500 * time.Millisecond
	// refreshMinInterval is the least time between two reads that Refresh asks for.
	refreshMinInterval = 600 * time.Millisecond
)

// errRefresh ends a watch because all is to be read anew.
var errRefresh = errors.New("to be read anew")

// New starts to watch; Close ends it.
func (c WatcherConfig) New() *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{config: c, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return w
}

// Close ends the duty.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// AnsweringSince is since when the store has answered without a break; zero if it
// does not answer.
func (w *Watcher) AnsweringSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeringSince
}

// Refresh has all items read anew, because somebody knows of one that the watch
// should have told of: watches can be silent without an error.
func (w *Watcher) Refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.config.Clock.Now()
	if w.cancelWatch == nil || now.Sub(w.lastRefresh) < refreshMinInterval {
		return
	}
	w.lastRefresh = now
	w.config.Log.Info("watch: silent, read anew", zap.String("prefix", string(w.config.Prefix)))
	w.cancelWatch()
}

func (w *Watcher) run(ctx context.Context) {
	pause := watchRetryMin
	for ctx.Err() == nil {
		err := w.follow(ctx, func() { pause = watchRetryMin })
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errRefresh) {
			continue
		}
		if errors.Is(err, tw.ErrHistoryGone) {
			w.config.Log.Info("watch: history is gone, read anew", zap.String("prefix", string(w.config.Prefix)))
			continue
		}
		w.markFailing(err)
		jittered := pause/2 + rand.N(pause)
		pause = min(2*pause, watchRetryMax)
		select {
		case <-ctx.Done():
		case <-w.config.Clock.After(jittered):
		}
	}
}

// follow reads all items and then follows their changes until a call fails.
func (w *Watcher) follow(ctx context.Context, answered func()) error {
	list, at, err := w.config.KV.Range(ctx, w.config.Prefix)
	if err != nil {
		return err
	}
	answered()
	w.markAnswering()
	items := make(map[tw.Key]tw.KVItem, len(list))
	for _, item := range list {
		items[item.Key] = item
	}
	w.config.Changed(items, at)
	for {
		events, next, err := w.watch(ctx, at)
		if err != nil {
			return err
		}
		at = max(at, next)
		if applyEvents(items, events) {
			w.config.Changed(items, at)
		}
		gap := w.config.Gap + time.Duration(len(items))*w.config.ItemGap
		if len(events) > 0 && gap > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-w.config.Clock.After(gap):
			}
		}
	}
}

// watch waits for changes. It fails with errRefresh if Refresh ended it.
func (w *Watcher) watch(ctx context.Context, at tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	w.setCancelWatch(stop)
	defer w.setCancelWatch(nil)
	events, next, err := w.config.KV.Watch(watchCtx, w.config.Prefix, at, w.config.Wait)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, 0, errRefresh
	}
	return events, next, err
}

func (w *Watcher) setCancelWatch(stop context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = stop
}

// applyEvents takes events into the items; it tells whether anything changed.
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
