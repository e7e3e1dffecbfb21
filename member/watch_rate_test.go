package member_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
)

// countingKV counts the calls of a watcher, and answers its watches in place of the store if answer
// is set.
type countingKV struct {
	tw.KV
	answer func(ctx context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error)

	mu             sync.Mutex
	ranges         int
	watchesStarted []time.Time
}

// Range implements tw.KV.
func (k *countingKV) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	k.mu.Lock()
	k.ranges++
	k.mu.Unlock()
	return k.KV.Range(ctx, prefix)
}

// Watch implements tw.KV.
func (k *countingKV) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	k.mu.Lock()
	k.watchesStarted = append(k.watchesStarted, time.Now())
	k.mu.Unlock()
	if k.answer != nil {
		time.Sleep(4 * time.Millisecond)
		if ctx.Err() != nil {
			return nil, 0, tw.ErrAmbiguous
		}
		return k.answer(ctx, after)
	}
	return k.KV.Watch(ctx, prefix, after, wait)
}

func (k *countingKV) calls() (ranges, watches int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ranges, len(k.watchesStarted)
}

const (
	rateWait          = 1500 * time.Millisecond
	rateAnswerTimeout = 800 * time.Millisecond
	rateTime          = 15 * time.Second
)

// rateCases are stores, and the calls that a watcher may make in rateTime while nothing changes.
var rateCases = map[string]struct {
	latency                time.Duration
	answer                 func(ctx context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error)
	minWatches, maxWatches int
	maxRanges              int
}{
	"answers after the wait": {minWatches: 10, maxWatches: 10, maxRanges: 1},
	"answers half a second late": {
		answer: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			time.Sleep(rateWait + 500*time.Millisecond)
			return nil, after, nil
		},
		minWatches: 7, maxWatches: 8, maxRanges: 1,
	},
	"never answers a watch": {
		answer: func(ctx context.Context, _ tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			<-ctx.Done()
			return nil, 0, tw.ErrAmbiguous
		},
		minWatches: 6, maxWatches: 7, maxRanges: 7,
	},
	"closes the connection of each watch": {
		answer: func(context.Context, tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			return nil, 0, tw.ErrAmbiguous
		},
		maxWatches: maxFaultyWatches, maxRanges: maxFaultyWatches,
	},
	"has forgotten its history at each watch": {
		answer: func(context.Context, tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			return nil, 0, tw.ErrHistoryGone
		},
		maxWatches: maxFaultyWatches, maxRanges: maxFaultyWatches,
	},
	"answers at once with nothing": {
		answer: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			return nil, after, nil
		},
		maxWatches: maxFaultyWatches, maxRanges: 10,
	},
	"answers at once with what is known": {
		answer: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			return []tw.KVEvent{{Item: tw.KVItem{Key: "p/1", Revision: 1}}}, after, nil
		},
		maxWatches: maxFaultyWatches, maxRanges: 10,
	},
	"answers at once with a change each time": {
		answer: func(_ context.Context, after tw.KVRevision) ([]tw.KVEvent, tw.KVRevision, error) {
			return []tw.KVEvent{{Item: tw.KVItem{Key: "p/1", Revision: after + 1}}}, after + 1, nil
		},
		maxWatches: maxChangedWatches, maxRanges: 1,
	},
}

const (
	// maxFaultyWatches is three watches a second, maxChangedWatches fifty, and the first.
	maxFaultyWatches  = 45
	maxChangedWatches = 751
)

// TestWatchRate bounds what a watcher costs the store, also one that answers too early for ever. The
// cost does not depend on the size of the fleet.
func TestWatchRate(t *testing.T) {
	for name, c := range rateCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				store := standin.KVConfig{Latency: time.Millisecond}.New()
				store.Put("p/1", []byte("one"))
				kv := &countingKV{KV: store, answer: c.answer}
				w := member.WatcherConfig{
					KV: kv, Clock: tw.SystemClock{}, Log: agecheck.Logger(t), Prefix: "p/", Wait: rateWait, AnswerTimeout: rateAnswerTimeout,
					Changed: func(map[tw.Key]tw.KVItem, tw.KVRevision) {},
				}.New()
				time.Sleep(rateTime)
				ranges, watches := kv.calls()
				w.Close()
				g.Expect(watches).To(And(BeNumerically(">=", c.minWatches), BeNumerically("<=", c.maxWatches)))
				g.Expect(ranges).To(BeNumerically("<=", c.maxRanges))
			})
		})
	}
}
