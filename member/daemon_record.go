package member

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// DaemonRecord is the record that a daemon publishes under a lease while it is live.
	DaemonRecord struct {
		Daemon      tw.DaemonID    `json:"daemon"`
		Incarnation tw.Incarnation `json:"life"`
		Address     string         `json:"address"` // of its peer service
		Hall        tw.HallID      `json:"hall"`
		// Cores is the number of processor cores available to the daemon.
		Cores tw.Cores `json:"cores"`
	}

	// PresenceConfig configures a Presence.
	PresenceConfig struct {
		KV    tw.KV
		Clock tw.Clock
		Log   *zap.Logger
		Self  DaemonRecord
		// MinTTL is the shortest lease that the store grants.
		MinTTL time.Duration
	}

	// Presence publishes this daemon's record in the store and renews its
	// lease.
	Presence struct {
		config     PresenceConfig
		cancel     context.CancelFunc
		done       chan struct{}
		reannounce chan struct{}

		mu    sync.Mutex
		lease tw.KVLeaseID
		// lastAnswer is the time of the last successful write or renewal.
		lastAnswer time.Time
	}
)

const (
	// presenceTTL is the TTL of the record's lease, after which a daemon that
	// has stopped renewing it counts as gone. It limits how long the pools of a
	// failed daemon have no owner. A slow store answers in 240 ms, so that
	// several renewals, one per renewInterval, fit into the TTL.
	presenceTTL   = 1500 * time.Millisecond
	renewInterval = 400 * time.Millisecond
)

// New starts publishing the record. Close stops it and removes the record.
func (c PresenceConfig) New() *Presence {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Presence{config: c, cancel: cancel, done: make(chan struct{}), reannounce: make(chan struct{}, 1)}
	go func() {
		defer close(p.done)
		p.run(ctx)
	}()
	return p
}

// Reannounce requests that the record, found to be missing, is written again.
func (p *Presence) Reannounce() {
	select {
	case p.reannounce <- struct{}{}:
	default: // already requested
	}
}

// Close stops the renewals and removes the record.
func (p *Presence) Close(ctx context.Context) {
	p.cancel()
	<-p.done
	if lease := p.currentLease(); lease != 0 {
		if err := p.config.KV.Revoke(ctx, lease); err != nil {
			p.config.Log.Warn("presence: record not removed, its lease will expire", logsink.Err(err))
		}
	}
}

func (p *Presence) currentLease() tw.KVLeaseID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease
}

func (p *Presence) setLease(lease tw.KVLeaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease = lease
}

// LastAnswer returns the time of the last successful write or renewal. As there
// is a renewal per renewInterval, it shows the loss of the store sooner than a
// watch does.
func (p *Presence) LastAnswer() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastAnswer
}

func (p *Presence) recordAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = p.config.Clock.Now()
}

func (p *Presence) run(ctx context.Context) {
	for {
		if p.currentLease() == 0 {
			p.announce(ctx)
		} else {
			p.renew(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-p.reannounce:
			p.setLease(0)
		case <-p.config.Clock.After(renewInterval):
		}
	}
}

func (p *Presence) announce(ctx context.Context) {
	lease, ttl, err := p.config.KV.Grant(ctx, max(presenceTTL, p.config.MinTTL))
	if err != nil {
		return // the watchers log that the store does not answer
	}
	value, err := json.Marshal(p.config.Self)
	if err != nil {
		p.config.Log.Error("presence: record not written", logsink.Err(err))
		return
	}
	put := tw.KVPut{Key: ledger.LiveKey(p.config.Self.Daemon), Value: value, Lease: lease}
	if _, err := p.config.KV.Commit(ctx, tw.KVTxn{Puts: []tw.KVPut{put}}); err != nil {
		return
	}
	p.setLease(lease)
	p.recordAnswer()
	p.config.Log.Info("presence: announced", zap.Int64("lease", int64(lease)), zap.Duration("ttl", ttl))
}

func (p *Presence) renew(ctx context.Context) {
	err := p.config.KV.Renew(ctx, p.currentLease())
	if err == nil {
		p.recordAnswer()
	}
	if errors.Is(err, tw.ErrNotFound) {
		p.config.Log.Warn("presence: lease expired, announcing again")
		p.setLease(0)
		p.announce(ctx)
	}
}
