package run

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// An organisation's usage cap applies to all pools together, each of which has its own owner.
// Each cap is divided into shares: the store holds the share of each pool (ledger.Shares). An
// owner starts work only within its pool's share, returns what it has not used for a while, and
// takes what it needs from the unassigned rest. A share that is being returned is not used from the
// moment that this is decided, and one that is being taken is not used before the store has
// confirmed it. So the shares in use never add up to more than the cap, even if an owner is
// partitioned, superseded or slow.

type (
	// caps keeps the pool's work within the usage caps. Only the owner's loop uses its fields;
	// its goroutine only reads and writes the shares in the store.
	caps struct {
		usage   usage
		config  func() *tw.QueueConfig
		updates chan shareUpdate
		done    chan struct{}

		// held are the pool's shares as recorded. It is nil until they are recorded with the
		// fence of this ownership: before that, the previous owner could still change them.
		held map[tw.OrganisationID]ledger.ShareUnits
		// inFlight are the target shares of the update in flight; nil if there is none. In
		// the store, a share may already be reduced to its target.
		inFlight map[tw.OrganisationID]ledger.ShareUnits
		// wanted are the shares that the last placement passes would have needed, minUseful the
		// smallest shares with which any of the withheld work could start.
		wanted, minUseful map[tw.OrganisationID]ledger.ShareUnits
		// peak and lastPeak are the largest shares in use during the current window and the
		// previous one.
		peak, lastPeak map[tw.OrganisationID]ledger.ShareUnits
		windowStart    time.Time
		// raiseAfter is the time before which no larger share is requested.
		raiseAfter time.Time
		// contended reports that the last update failed, or that other pools held some of what it
		// requested.
		contended bool
		// leftover is the usage of submissions that had ended under a previous owner and whose runs
		// may not have been stopped yet.
		leftover usage
		// endedEarly are the inherited submissions that have ended under this owner before it had
		// reached all workers that may run them.
		endedEarly []*submission
		// capped is what is needed of the configuration last used.
		capped *cappedConfig
	}

	// shareUpdate is one change of the pool's shares.
	shareUpdate struct {
		// targets are the requested shares, minUseful the smallest ones of any use: if several
		// pools each took less than their waiting work needs, all of them would wait.
		targets, minUseful map[tw.OrganisationID]ledger.ShareUnits
		// floors are the shares reserved for each pool.
		floors map[tw.PoolID]ledger.ShareUnits
		// refresh has the record read again first: other pools held requested shares the last
		// time, or the last update failed.
		refresh bool
	}
)

const (
	// floorDivisor: a pool always keeps its even share of each cap divided by this, so that an
	// owner that cannot reach the store can still start something for every organisation.
	floorDivisor = 4
	// spareShare is held beyond what is in use while a pool is busy, so that few starts wait for
	// the store: taking a share takes a write, which takes 4 ms, or 240 ms in a slow store.
	spareShare = ledger.CapUnits / 8
	// idleShareTime is the minimum time for which a share is kept that is not in use. The pools'
	// demand shifts within seconds.
	idleShareTime = 400 * time.Millisecond
	// raiseInterval is the minimum time between two requests for larger shares, so that those
	// of several organisations are combined in one write.
	raiseInterval = 15 * time.Millisecond
	// contendedRetry is the delay before shares are requested again that other pools hold.
	contendedRetry = 100 * time.Millisecond
)

func newCaps(o *Owner, config func() *tw.QueueConfig) *caps {
	if config == nil {
		config = func() *tw.QueueConfig { return nil }
	}
	c := &caps{
		usage: usage{}, leftover: usage{}, config: config, updates: make(chan shareUpdate, 1), done: make(chan struct{}),
		wanted: map[tw.OrganisationID]ledger.ShareUnits{}, minUseful: map[tw.OrganisationID]ledger.ShareUnits{},
		peak: map[tw.OrganisationID]ledger.ShareUnits{},
	}
	book := ledger.ShareBookConfig{KV: o.kv, Clock: o.clock, Log: o.log, Pool: o.pool, Fence: o.self.Fence}.New()
	go func() {
		defer close(c.done)
		c.runUpdates(o, book)
	}()
	return c
}

func (c *caps) close() { <-c.done }

// inherit counts a submission that ended under a previous owner: its runs may not have been stopped
// yet.
func (c *caps) inherit(r ledger.Record) {
	if r.Organisation != "" {
		c.leftover[r.Organisation] = c.leftover[r.Organisation].Plus(r.Stopping)
	}
}

// runUpdates writes the updates to the store until the owner ends.
func (c *caps) runUpdates(o *Owner, book *ledger.ShareBook) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case update := <-c.updates:
			if update.refresh {
				if err := book.Refresh(o.ctx); err != nil {
					o.log.Info("caps: shares of other pools not read", logsink.Err(err))
				}
			}
			units, err := book.Set(o.ctx, func(s ledger.Shares) map[tw.OrganisationID]ledger.ShareUnits { return update.nextShares(s, o.pool) })
			if !o.post(o.ctx, func() { c.updateDone(o, update, units, err) }) {
				return
			}
		}
	}
}

// nextShares computes the pool's shares from the present record. A previous owner's share is only
// reduced by an explicit target, as work that it started may still run.
func (update shareUpdate) nextShares(s ledger.Shares, pool tw.PoolID) map[tw.OrganisationID]ledger.ShareUnits {
	out := maps.Clone(s.Pools[pool].Units)
	if out == nil {
		out = map[tw.OrganisationID]ledger.ShareUnits{}
	}
	for organisation, target := range update.targets {
		has, free := out[organisation], s.Free(organisation, pool, update.floors)
		if target > has && free < update.minUseful[organisation] {
			continue
		}
		out[organisation] = min(target, max(has, free))
	}
	return out
}

// updateDone handles the result of an update.
func (c *caps) updateDone(o *Owner, update shareUpdate, units map[tw.OrganisationID]ledger.ShareUnits, err error) {
	c.inFlight = nil
	if err != nil {
		o.log.Error("caps: shares not recorded", logsink.Err(err))
		c.raiseAfter, c.contended = o.now.Add(time.Second), true // the record is read again first
		if errors.Is(err, ledger.ErrOwnershipLost) {
			c.held = nil
		}
		return
	}
	missing := 0
	for organisation, target := range update.targets {
		if units[organisation] < target {
			missing++
		}
	}
	c.contended = missing > 0
	if c.contended {
		c.raiseAfter = o.now.Add(contendedRetry)
	}
	o.log.Info("caps: parts recorded", zap.Int("organisations", len(update.targets)), zap.Int("short", missing))
	c.held = units
	o.placeRequested = true
}

// cappedConfig is what the caps need of a configuration.
type cappedConfig struct {
	config        *tw.QueueConfig
	organisations []*tw.Organisation
	floors        map[tw.PoolID]ledger.ShareUnits
}

// ofConfig returns what the caps need of the active configuration, which never changes in place.
func (c *caps) ofConfig() *cappedConfig {
	if config := c.config(); c.capped == nil || c.capped.config != config {
		c.capped = newCappedConfig(config)
	}
	return c.capped
}

// organisations returns those with a cap.
func (c *caps) organisations() []*tw.Organisation { return c.ofConfig().organisations }

// floors returns the share of every cap that is reserved for each pool. It must not be changed.
func (c *caps) floors() map[tw.PoolID]ledger.ShareUnits { return c.ofConfig().floors }

func newCappedConfig(config *tw.QueueConfig) *cappedConfig {
	out := &cappedConfig{config: config, floors: map[tw.PoolID]ledger.ShareUnits{}}
	if config == nil {
		return out
	}
	for i := range config.Organisations {
		if config.Organisations[i].Capped() {
			out.organisations = append(out.organisations, &config.Organisations[i])
		}
	}
	for _, pool := range config.Pools {
		if !pool.Parking {
			out.floors[pool.ID] = 0
		}
	}
	for pool := range out.floors {
		out.floors[pool] = ledger.CapUnits / ledger.ShareUnits(floorDivisor*len(out.floors))
	}
	return out
}

// maxShare is the largest share that a pool can have.
func maxShare(floors map[tw.PoolID]ledger.ShareUnits, pool tw.PoolID) ledger.ShareUnits {
	left := ledger.CapUnits
	for other, floor := range floors {
		if other != pool {
			left -= floor
		}
	}
	return left
}

// budgets returns what the organisations with a cap may still start in this pool; nil if no
// organisation has one.
func (c *caps) budgets(o *Owner) schedule.Budgets {
	organisations := c.organisations()
	if len(organisations) == 0 {
		return nil
	}
	unknown := o.unknownUsage()
	largest := maxShare(c.floors(), o.pool)
	out := make(schedule.Budgets, len(organisations))
	for _, org := range organisations {
		used := c.usage[org.ID].Plus(unknown[org.ID])
		out[org.ID] = &schedule.Budget{
			Remaining: capShare(org.UsageCap, c.usable(org.ID)).Minus(used), MaxCharge: capShare(org.UsageCap, largest), Cap: capShare(org.UsageCap, ledger.CapUnits),
		}
	}
	return out
}

// usable is the share that the update in flight cannot take from the pool.
func (c *caps) usable(id tw.OrganisationID) ledger.ShareUnits {
	units := c.held[id]
	if target, changes := c.inFlight[id]; changes {
		units = min(units, target)
	}
	return units
}

// notePass records what a placement pass used of the budgets, and what it withheld for lack of
// them.
func (c *caps) notePass(o *Owner, budgets schedule.Budgets) {
	if budgets == nil {
		return
	}
	largest := maxShare(c.floors(), o.pool)
	for _, org := range c.organisations() {
		budget := budgets[org.ID]
		if budget == nil {
			continue
		}
		used := capShare(org.UsageCap, c.usable(org.ID)).Minus(budget.Remaining)
		c.peak[org.ID] = max(c.peak[org.ID], unitsOf(used, org.UsageCap))
		if (budget.Withheld == tw.Resources{}) {
			continue
		}
		o.metrics.capWithheld.Inc()
		if c.held == nil || c.held[org.ID] < largest {
			c.wanted[org.ID] = min(unitsOf(used.Plus(budget.Withheld), org.UsageCap), largest)
			c.minUseful[org.ID] = unitsOf(used.Plus(budget.MinWithheld), org.UsageCap)
		}
	}
}

// adjust sends an update of the pool's shares if one is due, and returns when to check again.
func (c *caps) adjust(o *Owner) time.Time {
	if c.inFlight != nil || !o.permit.valid(o.now) {
		return time.Time{}
	}
	due := c.windowStart.Add(idleShareTime)
	if c.held == nil || len(c.wanted) > 0 {
		due = c.raiseAfter
	}
	if o.now.Before(due) {
		return due
	}
	organisations := c.organisations()
	if len(organisations) == 0 {
		return due
	}
	rotated := c.rotateWindow(o.now)
	floors := c.floors()
	update := shareUpdate{
		targets: map[tw.OrganisationID]ledger.ShareUnits{}, minUseful: maps.Clone(c.minUseful), floors: floors, refresh: c.contended,
	}
	unknown := o.unknownUsage()
	for _, org := range organisations {
		inUse := max(c.peak[org.ID], c.lastPeak[org.ID], unitsOf(c.usage[org.ID].Plus(unknown[org.ID]), org.UsageCap))
		if target, due := c.target(org.ID, inUse, floors[o.pool], rotated); due {
			update.targets[org.ID] = min(target, max(maxShare(floors, o.pool), inUse))
		}
	}
	clear(c.wanted)
	if len(update.targets) > 0 || c.held == nil {
		c.inFlight = update.targets
		c.raiseAfter = o.now.Add(raiseInterval)
		c.updates <- update
	}
	return c.windowStart.Add(idleShareTime)
}

// target computes the share of a cap that the pool should have when inUse of it is in use. due
// reports whether the change is worth a write.
func (c *caps) target(id tw.OrganisationID, inUse, floor ledger.ShareUnits, rotated bool) (target ledger.ShareUnits, due bool) {
	held, wanted := c.held[id], c.wanted[id]
	keep, slack := floor, ledger.ShareUnits(0)
	if inUse > 0 {
		keep, slack = max(floor, inUse+spareShare), spareShare/4
	}
	switch {
	case wanted > held:
		return max(keep, wanted+spareShare), true
	case c.held == nil, rotated && held < floor:
		return max(held, keep), true
	case rotated && held > keep+slack:
		return keep, true
	}
	return 0, false
}

// rotateWindow begins a new window of peaks if the current one is over.
func (c *caps) rotateWindow(now time.Time) bool {
	if now.Sub(c.windowStart) < idleShareTime {
		return false
	}
	c.windowStart = now
	c.lastPeak, c.peak = c.peak, map[tw.OrganisationID]ledger.ShareUnits{}
	return true
}
