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

// An organisation's usage cap holds over all pools, of which each has an owner of its own.
// The pool's part of each cap stands in the store (ledger.Shares). The owner starts work
// only within its part, gives back what it has not used for a while, and takes what it
// wants from what nobody has. A part that is given back is not used from the moment that
// this is decided, and one that is taken not before the store has said so. So the parts
// that are in use never sum to more than the cap, whoever is cut off, deposed or late.

type (
	// caps keeps the pool's work within the usage caps. All but its goroutine, which only
	// waits for the store, belongs to the owner's loop.
	caps struct {
		usage   usage
		config  func() *tw.QueueConfig
		updates chan shareUpdate
		done    chan struct{}

		// held are the pool's parts as recorded. It is nil until they carry the fence of
		// this ownership: before that, the former owner could still change them.
		held map[tw.OrganisationID]ledger.ShareUnits
		// inFlight are the parts that a change under way may leave; nil if there is none.
		inFlight map[tw.OrganisationID]ledger.ShareUnits
		// wanted are the parts that the last placement passes lacked, minUseful the smallest
		// that lets any of that start.
		wanted, minUseful map[tw.OrganisationID]ledger.ShareUnits
		// peak and lastPeak are the largest parts in use in this window and the last.
		peak, lastPeak map[tw.OrganisationID]ledger.ShareUnits
		windowStart    time.Time
		// raiseAfter is before when no further part is asked for.
		raiseAfter time.Time
		// contended: others held what was wished for the last time.
		contended bool
		// leftover is what submissions that had ended under a former owner had running.
		leftover usage
	}

	// shareUpdate is one change of the pool's parts.
	shareUpdate struct {
		// targets are the parts wished for, and minUseful the smallest that is of any use:
		// pools that each take less than the work they have waits for would all wait.
		targets, minUseful map[tw.OrganisationID]ledger.ShareUnits
		// floors are left to the pools.
		floors map[tw.PoolID]ledger.ShareUnits
		// refresh: others held what was wished for the last time.
		refresh bool
	}
)

const (
	// floorDivisor of a pool's even share of each cap stays with the pool, so that an owner
	// which the store turns away can start something for everybody.
	floorDivisor = 4
	// spareShare is held beyond what is in use while a pool is busy, so that few starts
	// wait for the store: a part is taken in a write of 4 ms, in a slow store of 240 ms.
	spareShare = ledger.CapUnits / 8
	// idleShareTime is for how long a part is kept that is not in use. The pools' demand turns
	// within seconds.
	idleShareTime = 400 * time.Millisecond
	// raiseInterval gathers wishes of several organisations into one write.
	raiseInterval = 15 * time.Millisecond
	// contendedRetry is the pause before parts are asked for again that others hold.
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

// inherit takes up a submission that ended under a former owner: what it had running may
// not have been stopped yet.
func (c *caps) inherit(r ledger.Record) {
	if r.Organisation != "" {
		c.leftover[r.Organisation] = c.leftover[r.Organisation].Plus(r.Stopping)
	}
}

// runUpdates brings changes into the store, until the owner ends.
func (c *caps) runUpdates(o *Owner, book *ledger.ShareBook) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case job := <-c.updates:
			if job.refresh {
				if err := book.Refresh(o.ctx); err != nil {
					o.log.Info("caps: parts of others not read", logsink.Err(err))
				}
			}
			units, err := book.Set(o.ctx, func(s ledger.Shares) map[tw.OrganisationID]ledger.ShareUnits { return job.nextShares(s, o.pool) })
			if !o.post(o.ctx, func() { c.updateDone(o, job, units, err) }) {
				return
			}
		}
	}
}

// nextShares is what the pool's parts are to be by the present record. Of a former owner's
// parts none is given back that is not in the job, as the work that it started may run on.
func (j shareUpdate) nextShares(s ledger.Shares, pool tw.PoolID) map[tw.OrganisationID]ledger.ShareUnits {
	out := maps.Clone(s.Pools[pool].Units)
	if out == nil {
		out = map[tw.OrganisationID]ledger.ShareUnits{}
	}
	for organisation, target := range j.targets {
		has, free := out[organisation], s.Free(organisation, pool, j.floors)
		if target > has && free < j.minUseful[organisation] {
			continue
		}
		out[organisation] = min(target, max(has, free))
	}
	return out
}

// updateDone takes up the outcome of a change.
func (c *caps) updateDone(o *Owner, job shareUpdate, units map[tw.OrganisationID]ledger.ShareUnits, err error) {
	c.inFlight = nil
	if err != nil {
		o.log.Error("caps: parts not recorded", logsink.Err(err))
		c.raiseAfter, c.contended = o.now.Add(time.Second), true // the record is read anew first
		if errors.Is(err, ledger.ErrOwnershipLost) {
			c.held = nil
		}
		return
	}
	short := 0
	for organisation, target := range job.targets {
		if units[organisation] < target {
			short++
		}
	}
	c.contended = short > 0
	if c.contended {
		c.raiseAfter = o.now.Add(contendedRetry)
	}
	o.log.Info("caps: parts recorded", zap.Int("organisations", len(job.targets)), zap.Int("short", short))
	c.held = units
	o.placeRequested = true
}

// organisations are those with a cap.
func (c *caps) organisations() []*tw.Organisation {
	config := c.config()
	if config == nil {
		return nil
	}
	var out []*tw.Organisation
	for i := range config.Organisations {
		if config.Organisations[i].Capped() {
			out = append(out, &config.Organisations[i])
		}
	}
	return out
}

// floors are the parts that each pool keeps of every cap.
func (c *caps) floors() map[tw.PoolID]ledger.ShareUnits {
	out := map[tw.PoolID]ledger.ShareUnits{}
	for _, pool := range c.config().Pools {
		if !pool.Parking {
			out[pool.ID] = 0
		}
	}
	for pool := range out {
		out[pool] = ledger.CapUnits / ledger.ShareUnits(floorDivisor*len(out))
	}
	return out
}

// maxShare is the largest part that a pool can have.
func maxShare(floors map[tw.PoolID]ledger.ShareUnits, pool tw.PoolID) ledger.ShareUnits {
	left := ledger.CapUnits
	for other, floor := range floors {
		if other != pool {
			left -= floor
		}
	}
	return left
}

// budgets are what the organisations with a cap may still have started here; nil if there
// is none.
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

// usable is the pool's part that no change under way may take from it.
func (c *caps) usable(id tw.OrganisationID) ledger.ShareUnits {
	units := c.held[id]
	if giving, changes := c.inFlight[id]; changes {
		units = min(units, giving)
	}
	return units
}

// notePass notes what a placement pass has used of the budgets, and what it lacked.
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

// adjust changes the pool's parts if that is due, and returns when it is next.
func (c *caps) adjust(o *Owner) time.Time {
	if c.inFlight != nil || !o.permit.valid(o.now) {
		return time.Time{}
	}
	due := c.windowStart.Add(idleShareTime)
	if c.held == nil || len(c.wanted) > 0 {
		due = c.raiseAfter
	}
	organisations := c.organisations()
	if len(organisations) == 0 || o.now.Before(due) {
		return due
	}
	turned := c.rotateWindow(o.now)
	floors := c.floors()
	job := shareUpdate{
		targets: map[tw.OrganisationID]ledger.ShareUnits{}, minUseful: maps.Clone(c.minUseful), floors: floors, refresh: c.contended,
	}
	unknown := o.unknownUsage()
	for _, org := range organisations {
		inUse := max(c.peak[org.ID], c.lastPeak[org.ID], unitsOf(c.usage[org.ID].Plus(unknown[org.ID]), org.UsageCap))
		if target, due := c.target(org.ID, inUse, floors[o.pool], turned); due {
			job.targets[org.ID] = min(target, max(maxShare(floors, o.pool), inUse))
		}
	}
	clear(c.wanted)
	if len(job.targets) > 0 || c.held == nil {
		c.inFlight = job.targets
		c.raiseAfter = o.now.Add(raiseInterval)
		c.updates <- job
	}
	return c.windowStart.Add(idleShareTime)
}

// target is the part that the pool is to have of a cap, of which inUse is in use; due tells
// whether that is worth a write.
func (c *caps) target(id tw.OrganisationID, inUse, floor ledger.ShareUnits, turned bool) (target ledger.ShareUnits, due bool) {
	held, wanted := c.held[id], c.wanted[id]
	keep, slack := floor, ledger.ShareUnits(0)
	if inUse > 0 {
		keep, slack = max(floor, inUse+spareShare), spareShare/4
	}
	switch {
	case wanted > held:
		return max(keep, wanted+spareShare), true
	case c.held == nil, turned && held < floor:
		return max(held, keep), true
	case turned && held > keep+slack:
		return keep, true
	}
	return 0, false
}

// rotateWindow begins a new window of peaks if the last is over.
func (c *caps) rotateWindow(now time.Time) bool {
	if now.Sub(c.windowStart) < idleShareTime {
		return false
	}
	c.windowStart = now
	c.lastPeak, c.peak = c.peak, map[tw.OrganisationID]ledger.ShareUnits{}
	return true
}
