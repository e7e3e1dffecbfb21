package control

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// configDuty follows the configuration in the store.
func (n *Node) configDuty(ctx context.Context) {
	n.follow(ctx, tw.ConfigKey, func(body json.RawMessage) {
		took, err := n.know.offerConfig(body)
		n.know.seeStored(storedRevision(body))
		switch {
		case err != nil:
			n.log.Error("stored configuration is unreadable", zap.Error(err))
		case took:
			n.log.Info("configuration in force", zap.Uint64("revision", uint64(n.know.revisionNow())))
		}
	})
}

// storedRevision is 0 for a document that cannot be read.
func storedRevision(body json.RawMessage) tw.Revision {
	var accepted tw.AcceptedConfig
	if err := json.Unmarshal(body, &accepted); err != nil {
		return 0
	}
	return accepted.Revision
}

// planDuty follows the hall's plan in the store, from the moment that this
// daemon is registered.
func (n *Node) planDuty(ctx context.Context) {
	n.follow(ctx, tw.PlanKey(n.cfg.Self.Hall), func(body json.RawMessage) {
		if _, err := n.know.offerPlan(body); err != nil {
			n.log.Error("stored plan is unreadable", zap.Error(err))
		}
	})
}

// follow watches a key for ever and passes each new value on.
func (n *Node) follow(ctx context.Context, key tw.Key, take func(json.RawMessage)) {
	var seen tw.Version
	for ctx.Err() == nil {
		stored, err := n.cfg.Documents.Watch(ctx, key, seen, n.jitter(n.cfg.Pace.Watch))
		switch {
		case err == nil:
			seen = stored.Version
			take(stored.Body)
		case errors.Is(err, tw.ErrNoChange):
		default:
			n.sleep(ctx, n.jitter(n.cfg.Pace.Sync))
		}
	}
}

// listDuty polls the platform's instance list.
func (n *Node) listDuty(ctx context.Context) {
	for {
		seen, _ := n.know.instances()
		list, err := n.cfg.Instances.List(ctx, n.cfg.Self.Hall, seen.Version)
		switch {
		case err == nil && n.know.offerList(list):
			n.planner.absent.see(list)
		case errors.Is(err, tw.ErrNoChange):
			n.planner.absent.see(seen)
		}
		if !n.sleep(ctx, n.jitter(n.cfg.Pace.List)) {
			return
		}
	}
}
