package control

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// configLoop watches the configuration in the store.
func (n *Node) configLoop(ctx context.Context) {
	n.watchKey(ctx, tw.ConfigKey, func(body json.RawMessage) {
		updated, err := n.state.updateConfig(body)
		n.state.observeStoredRevision(storedRevision(body))
		switch {
		case err != nil:
			n.log.Error("stored configuration is unreadable", zap.Error(err))
		case updated:
			n.log.Info("configuration in force", zap.Uint64("revision", uint64(n.state.currentRevision())))
		}
	})
}

// storedRevision returns the revision of a configuration document, or 0 if it cannot be
// parsed.
func storedRevision(body json.RawMessage) tw.Revision {
	var accepted tw.AcceptedConfig
	if err := json.Unmarshal(body, &accepted); err != nil {
		return 0
	}
	return accepted.Revision
}

// planLoop watches the hall's plan in the store.
func (n *Node) planLoop(ctx context.Context) {
	n.watchKey(ctx, tw.PlanKey(n.cfg.Self.Hall), func(body json.RawMessage) {
		if _, err := n.state.updatePlan(body); err != nil {
			n.log.Error("stored plan is unreadable", zap.Error(err))
		}
	})
}

// watchKey watches a key until ctx ends and passes each new value to handle.
func (n *Node) watchKey(ctx context.Context, key tw.Key, handle func(json.RawMessage)) {
	var seen tw.Version
	for ctx.Err() == nil {
		stored, err := n.cfg.Documents.Watch(ctx, key, seen, n.jitter(n.cfg.Intervals.Watch))
		switch {
		case err == nil:
			seen = stored.Version
			handle(stored.Body)
		case errors.Is(err, tw.ErrNoChange):
		default:
			n.sleep(ctx, n.jitter(n.cfg.Intervals.Sync))
		}
	}
}

// listLoop polls the platform's instance list.
func (n *Node) listLoop(ctx context.Context) {
	for {
		seen, _ := n.state.instances()
		list, err := n.cfg.Instances.List(ctx, n.cfg.Self.Hall, seen.Version)
		switch {
		case err == nil && n.state.updateList(list):
			n.planner.absences.observeList(list)
		case errors.Is(err, tw.ErrNoChange):
			n.planner.absences.observeList(seen)
		}
		if !n.sleep(ctx, n.jitter(n.cfg.Intervals.List)) {
			return
		}
	}
}
