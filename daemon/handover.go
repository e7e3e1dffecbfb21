package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
)

const (
	// handoverPatience is how long a successor may leave a handover unanswered before the next one
	// is asked as well. A successor answers at once; one that was cut off a moment ago does not,
	// and the pool has no owner meanwhile.
	handoverPatience = 200 * time.Millisecond
	// maxUnansweredHandovers bounds the unanswered requests: a daemon that is cut off itself must
	// not have many daemons take its pool once its messages get through.
	maxUnansweredHandovers = 3
)

// handOver hands all pools over to other daemons, for a graceful shutdown.
func (o *owners) handOver(ctx context.Context) {
	o.mu.Lock()
	o.stopping = true
	owned := o.owned
	o.owned = map[tw.PoolID]*ownedPool{}
	manager, record := o.manager, o.managerRecord
	o.manager = nil
	o.mu.Unlock()
	var wg sync.WaitGroup
	if manager != nil {
		wg.Go(func() {
			manager.Close()
			o.handOverPool(ctx, record)
		})
	}
	for _, p := range owned {
		wg.Go(func() {
			p.owner.Drain(ctx)
			p.inbox.Close()
			o.handOverPool(ctx, p.owner.Record())
		})
	}
	wg.Wait()
	o.cancel()
}

// handOverPool asks the successors of a pool to take it over, until one answers. Several may have been
// asked by then: the pool's record in the store lets only one of them take it.
func (o *owners) handOverPool(ctx context.Context, record ledger.Owner) {
	ask := func(ctx context.Context, successor member.DaemonRecord) error {
		ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		defer cancel()
		err := o.d.peers.Take(ctx, successor.Address, record.Pool, record.Fence)
		o.d.log.Info("owner: pool handed over", zap.String("pool", string(record.Pool)),
			zap.String("to", string(successor.Daemon)), logsink.Err(err))
		return err
	}
	if !askInTurn(ctx, o.d.clock, o.d.members.Successors(record.Pool), ask) && ctx.Err() == nil {
		o.d.log.Warn("owner: no successor", zap.String("pool", string(record.Pool)))
	}
}

// askInTurn asks daemons one after the other until one agrees: the next one at once after an error, or
// after handoverPatience without an answer. It reports whether one has agreed.
func askInTurn(ctx context.Context, clock tw.Clock, daemons []member.DaemonRecord, ask func(context.Context, member.DaemonRecord) error) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan error, len(daemons))
	var patience <-chan time.Time
	unanswered := 0
	for {
		if len(daemons) > 0 && patience == nil && unanswered < maxUnansweredHandovers {
			asked := daemons[0]
			daemons = daemons[1:]
			unanswered++
			go func() { answers <- ask(ctx, asked) }()
			patience = clock.After(handoverPatience)
		}
		if unanswered == 0 {
			return false
		}
		select {
		case err := <-answers:
			if err == nil {
				return true
			}
			unanswered--
			patience = nil
		case <-patience:
			patience = nil
		case <-ctx.Done():
			return false
		}
	}
}
