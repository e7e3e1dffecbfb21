package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/platform"
)

type (
	// OperatorConfig configures an Operator.
	OperatorConfig struct {
		Documents *platform.Documents
		Peers     tw.Peers
		Clock     tw.Clock
	}

	// Operator implements the operator's commands. It changes the configuration and
	// rosters, and reads state; it never changes a plan.
	Operator struct {
		documents *platform.Documents
		peers     tw.Peers
		clock     tw.Clock
	}

	// ConflictError is returned by Apply if its base is no longer the newest
	// revision.
	ConflictError struct {
		Base    tw.Revision
		Current tw.AcceptedConfig
	}

	// DaemonState is what a registered daemon reports about its configuration and
	// plan. Reached is false if it did not respond.
	DaemonState struct {
		tw.RosterMember
		Hall     tw.HallID
		Reached  bool
		Revision tw.Revision
		Acked    tw.Generation
	}
)

// daemonPollInterval is the interval at which WaitForRevision polls the daemons.
const daemonPollInterval = 50 * time.Millisecond

// New creates an operator.
func (c OperatorConfig) New() *Operator {
	return &Operator{documents: c.Documents, peers: c.Peers, clock: c.Clock}
}

// Error implements error. It names the operator of the current revision.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("made from revision %d, but revision %d by %s is in force: look at the difference and apply again",
		c.Base, c.Current.Revision, nameOr(c.Current.Operator, "somebody"))
}

// Get reads the accepted configuration. Its revision is 0 if there is none.
func (o *Operator) Get(ctx context.Context) (tw.AcceptedConfig, error) {
	current, _, err := o.readConfig(ctx)
	return current, err
}

// Apply stores source as the configuration, if base is still the newest revision.
// An invalid configuration fails with tw.ValidationErrors, another base with
// *ConflictError, and an outdated store with ErrStoreBehind.
func (o *Operator) Apply(ctx context.Context, source, operator string, base tw.Revision) (tw.AcceptedConfig, error) {
	if _, err := ParseConfig(source); err != nil {
		return tw.AcceptedConfig{}, err
	}
	current, stored, err := o.readConfig(ctx)
	if err != nil {
		return tw.AcceptedConfig{}, err
	}
	if current.Revision != base {
		return tw.AcceptedConfig{}, &ConflictError{Base: base, Current: current}
	}
	if err := o.checkStore(ctx, current); err != nil {
		return tw.AcceptedConfig{}, err
	}
	next := tw.AcceptedConfig{
		Revision:  base + 1,
		Source:    source,
		Operator:  operator,
		AppliedAt: o.clock.Now(),
	}
	_, err = o.documents.Write(ctx, tw.ConfigKey, stored, next)
	if errors.Is(err, tw.ErrConflict) {
		winner, err := o.Get(ctx)
		if err != nil {
			return tw.AcceptedConfig{}, err
		}
		return tw.AcceptedConfig{}, &ConflictError{Base: base, Current: winner}
	}
	return next, err
}

// checkStore fails with ErrStoreBehind if a daemon has a newer revision than the
// store: the daemons would ignore a new configuration under a revision that they
// already have.
func (o *Operator) checkStore(ctx context.Context, current tw.AcceptedConfig) error {
	if current.Revision == 0 {
		return nil
	}
	config, err := ParseConfig(current.Source)
	if err != nil {
		return err
	}
	daemons, err := o.Daemons(ctx, config.Halls)
	if err != nil {
		return err
	}
	for _, d := range daemons {
		if d.Reached && d.Revision > current.Revision {
			return errors.Wrapf(ErrStoreBehind, "%s has revision %d, the store %d", d.ID, d.Revision, current.Revision)
		}
	}
	return nil
}

// Daemons queries the state of every registered daemon of the halls.
func (o *Operator) Daemons(ctx context.Context, halls []tw.HallID) ([]DaemonState, error) {
	var out []DaemonState
	for _, hall := range halls {
		roster, err := o.Roster(ctx, hall)
		if err != nil {
			return nil, err
		}
		for _, m := range roster.Members {
			out = append(out, DaemonState{RosterMember: m, Hall: hall})
		}
	}
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { o.queryDaemon(ctx, &out[i]) })
	}
	wg.Wait()
	return out, nil
}

// Roster reads a hall's roster.
func (o *Operator) Roster(ctx context.Context, hall tw.HallID) (tw.Roster, error) {
	var roster tw.Roster
	err := o.readInto(ctx, tw.RosterKey(hall), &roster)
	return roster, err
}

// Plan reads a hall's plan.
func (o *Operator) Plan(ctx context.Context, hall tw.HallID) (tw.Plan, error) {
	var plan tw.Plan
	err := o.readInto(ctx, tw.PlanKey(hall), &plan)
	return plan, err
}

// Forget removes a daemon from the roster, so that handovers no longer wait for it.
// The operator must be sure that its process has ended.
func (o *Operator) Forget(ctx context.Context, hall tw.HallID, id tw.DaemonID) error {
	found := false
	err := o.documents.Update(ctx, tw.RosterKey(hall), func(body json.RawMessage) (any, error) {
		var roster tw.Roster
		if body != nil {
			if err := json.Unmarshal(body, &roster); err != nil {
				return nil, err
			}
		}
		next := roster.Without(id)
		found = len(next.Members) < len(roster.Members)
		if !found {
			return nil, nil
		}
		return next, nil
	})
	if err == nil && !found {
		return errors.Wrapf(tw.ErrNotFound, "daemon %s in the roster of %s", id, hall)
	}
	return err
}

// WaitForRevision waits until every registered daemon has at least the revision.
func (o *Operator) WaitForRevision(ctx context.Context, halls []tw.HallID, revision tw.Revision) ([]DaemonState, error) {
	for {
		daemons, err := o.Daemons(ctx, halls)
		if err == nil && allAtRevision(daemons, revision) {
			return daemons, nil
		}
		select {
		case <-ctx.Done():
			return daemons, errors.Wrapf(ctx.Err(), "waiting for revision %d", revision)
		case <-o.clock.After(daemonPollInterval):
		}
	}
}

func allAtRevision(daemons []DaemonState, revision tw.Revision) bool {
	for _, d := range daemons {
		if !d.Reached || d.Revision < revision {
			return false
		}
	}
	return true
}

func (o *Operator) queryDaemon(ctx context.Context, d *DaemonState) {
	// With the highest revision in the request, the daemon does not send its
	// configuration in the response.
	resp, err := o.peers.Sync(ctx, d.Address, tw.SyncRequest{Self: tw.Member{Revision: ^tw.Revision(0)}, WantReport: true})
	if err != nil || resp.Self.ID != d.ID || resp.Self.Report == nil {
		return
	}
	d.Reached, d.Revision, d.Acked = true, resp.Self.Revision, resp.Self.Report.Acked
}

func (o *Operator) readConfig(ctx context.Context) (tw.AcceptedConfig, platform.Document, error) {
	var current tw.AcceptedConfig
	stored, err := o.documents.Read(ctx, tw.ConfigKey)
	if err != nil || stored.Body == nil {
		return current, stored, err
	}
	return current, stored, json.Unmarshal(stored.Body, &current)
}

func (o *Operator) readInto(ctx context.Context, key tw.Key, into any) error {
	stored, err := o.documents.Read(ctx, key)
	if err != nil || stored.Body == nil {
		return err
	}
	return json.Unmarshal(stored.Body, into)
}

func nameOr(name, fallback string) string {
	if name == "" {
		return fallback
	}
	return name
}
