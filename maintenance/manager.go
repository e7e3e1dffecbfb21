package maintenance

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

// ManagerPool is the pool ID under which the manager's ownership is recorded.
const ManagerPool tw.PoolID = "~machines"

type (
	// Owners reaches the owners of pools.
	Owners interface {
		// ReportOf sends directions to the owner of a pool and returns the owner's
		// report of the pool's load.
		ReportOf(ctx context.Context, pool tw.PoolID, d run.Directions) (run.Report, error)
	}

	// Config configures a Manager.
	Config struct {
		Book *ledger.Book
		// RecentlyChanged holds the times of recent changes of machines by former managers.
		RecentlyChanged map[tw.InstanceID]time.Time
		// RecentChangesUnknown: the record of RecentlyChanged is unreadable, so that any machine may have
		// been changed a moment ago.
		RecentChangesUnknown bool
		Holder               string
		KV                   tw.KV
		Machines             tw.Machines
		MachineCache         *run.MachineCache
		Owners               Owners
		Clock                tw.Clock
		Log                  *zap.Logger
		Metrics              *metrics.Set
		// Waves returns the waves that operators have requested.
		Waves func() []tw.MaintenanceWave
		// Queue returns the configuration in force, or nil.
		Queue func() *tw.QueueConfig
		// Evacuations returns the evacuated halls, or nil while they are not known.
		Evacuations func() *tw.Evacuations
		// WaveStatus returns the record that shows operators the status of a wave.
		WaveStatus func(wave int64, done bool) tw.KVPut
		// HolderTime is the minimum time between orders of different holders for
		// the same machine.
		HolderTime time.Duration
		// ParkAfter is the time after which a machine that no pool has needed is parked.
		ParkAfter time.Duration
		// OnOwnershipLost is called when another daemon has taken over the management of
		// machines.
		OnOwnershipLost func()
	}

	// Manager carries out maintenance waves and moves machines between pools. It holds
	// the ownership of ManagerPool.
	Manager struct {
		Config
		fence     tw.FencingToken
		startedAt time.Time
		ctx       context.Context
		cancel    context.CancelFunc
		done      chan struct{}

		// lastWrite is when the ownership was last confirmed in the store.
		lastWrite atomic.Pointer[time.Time]

		// The fields below are used only by the goroutine of run.
		waves    map[int64]*Wave
		ordered  map[tw.InstanceID]Order
		vacating map[tw.InstanceID]Order
		reports  map[tw.PoolID]report
		ended    map[tw.WorkerID]endedWorker
		// missing holds the workers that run but are in no report, and since when.
		missing       map[tw.WorkerID]time.Time
		confirmedAt   time.Time
		poolsLoggedAt time.Time
		forecasts     map[tw.PoolID]*forecast
		// total holds how many machines the work of all pools fills.
		total forecast
		unfit map[tw.InstanceID]map[tw.PoolID]bool
		// recentlyChanged holds the times at which machines were last changed, blocked the
		// times until which machines must not be changed.
		recentlyChanged, blocked map[tw.InstanceID]time.Time
		limiter                  orderLimiter
		// noOrdersUntil is the time until which no machine must be changed.
		noOrdersUntil time.Time
		// unreadableLog limits the log lines of waves whose record can't be read, as each pass reads them.
		unreadableLog rate.Sometimes
		poolMetrics   poolMetrics
	}
)

const (
	// passInterval is the pause between two passes.
	passInterval = 100 * time.Millisecond
	// maxReportAge is the maximum age of a report to act on.
	maxReportAge = 500 * time.Millisecond
	// maxListAge is the maximum age of the list of machines to act on. The list is
	// read several times a second.
	maxListAge = time.Second
	// unreadableLogInterval is the least time between two log lines of records that can't be read.
	unreadableLogInterval = time.Second
)

// New starts a manager, which Close ends.
func (c Config) New() *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	now := c.Clock.Now()
	m := &Manager{
		Config: c, fence: c.Book.Fence(), startedAt: now,
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
		waves: map[int64]*Wave{}, ordered: map[tw.InstanceID]Order{}, vacating: map[tw.InstanceID]Order{},
		reports: map[tw.PoolID]report{}, ended: map[tw.WorkerID]endedWorker{}, confirmedAt: now, forecasts: map[tw.PoolID]*forecast{}, total: forecast{window: c.ParkAfter},
		unfit:           map[tw.InstanceID]map[tw.PoolID]bool{},
		recentlyChanged: map[tw.InstanceID]time.Time{}, blocked: map[tw.InstanceID]time.Time{}, limiter: orderLimiter{limit: initialOrderLimit},
		unreadableLog: rate.Sometimes{Interval: unreadableLogInterval},
		poolMetrics:   poolMetrics{set: c.Metrics, gauges: map[string]*metrics.Gauge{}},
	}
	m.adoptRecent(c.RecentlyChanged)
	if c.RecentChangesUnknown {
		m.noOrdersUntil = now.Add(m.HolderTime + maxOrderDelay)
	}
	m.Log = c.Log.With(zap.Int64("machine_fence", int64(m.fence)))
	m.Log.Info("maintenance: this daemon manages the machines")
	go func() {
		defer close(m.done)
		defer m.poolMetrics.clear()
		m.run()
	}()
	return m
}

// Close stops the manager and waits for its goroutine to end.
func (m *Manager) Close() {
	m.cancel()
	<-m.done
}

// StoreOutage returns for how long the store has accepted no write of the manager. It is zero
// while writes succeed.
func (m *Manager) StoreOutage(context.Context) (time.Duration, error) {
	last := m.lastWrite.Load()
	if last == nil {
		return 0, nil
	}
	return max(0, m.Clock.Now().Sub(*last)-ownershipValidity/2), nil
}

func (m *Manager) run() {
	for m.ctx.Err() == nil {
		if err := m.pass(); errors.Is(err, ledger.ErrOwnershipLost) {
			m.Log.Warn("maintenance: another daemon manages the machines")
			m.OnOwnershipLost()
			return
		}
		select {
		case <-m.ctx.Done():
		case <-m.Clock.After(passInterval):
		}
	}
}

// pass reads the state, decides and issues orders once.
func (m *Manager) pass() error {
	config := m.Queue()
	if config == nil {
		return nil
	}
	m.loadWaves()
	m.MachineCache.RequestRefresh(m.Clock.Now())
	m.collect(config)
	list := m.MachineCache.Latest()
	if list == nil || m.Clock.Now().Sub(list.RequestedAt) > maxListAge || !list.RequestedAt.After(m.startedAt) {
		return nil // the list may be stale
	}
	if m.Clock.Now().Before(m.noOrdersUntil) {
		return m.confirmOwnership()
	}
	m.reconcileOrders(list)
	state := m.state(config, list)
	decision := Decide(state)
	m.logDecision(decision)
	m.logPools(state)
	m.poolMetrics.update(state)
	m.vacating = decision.Vacate
	if err := m.confirmOwnership(); err != nil {
		return err
	}
	orders, later := m.limiter.split(decision.Orders, state.parkingID())
	for _, order := range later {
		m.vacating[order.Machine] = order
	}
	if err := m.issueOrders(orders); err != nil {
		return err
	}
	return m.reportWaves(list)
}

// loadWaves adds the waves that operators have requested. A wave whose record cannot be read is
// retried in the next pass, as machines may already be down for it.
func (m *Manager) loadWaves() {
	for _, wave := range m.Waves() {
		if have := m.waves[wave.Number]; have != nil {
			have.MaintenanceWave = wave
			continue
		}
		if err := m.loadWave(wave); err != nil {
			m.unreadableLog.Do(func() {
				m.Log.Warn("wave: progress not readable, retrying in the next pass", zap.Int64("wave", wave.Number), logsink.Err(err))
			})
		}
	}
}

func (m *Manager) loadWave(wave tw.MaintenanceWave) error {
	progress, err := ledger.FindWave(m.ctx, m.KV, wave.Number)
	if err != nil {
		return err
	}
	w := &Wave{MaintenanceWave: wave, FirstSeen: m.Clock.Now(), Done: map[tw.InstanceID]bool{}, Finished: progress.Finished}
	if seen := progress.FirstSeen; !seen.IsZero() {
		w.FirstSeen = earlier(seen, w.FirstSeen) // the clock of the former manager may be ahead
	}
	for _, id := range progress.Done {
		w.Done[id] = true
	}
	m.waves[wave.Number] = w
	m.adoptPending(w, progress.Pending)
	return nil
}

func (m *Manager) state(config *tw.QueueConfig, list *run.MachineList) *State {
	now := m.Clock.Now()
	s := &State{
		Now: now, WatchedSince: m.startedAt, ParkAfter: m.ParkAfter, Machines: list.Machines, ListRequestedAt: list.RequestedAt, Pools: map[tw.PoolID]*Pool{},
		Ordered: m.ordered, Vacating: map[tw.InstanceID]Order{}, Unfit: m.unfit, Blocked: m.blocked,
		Evacuations: m.Evacuations(),
	}
	filled := 0.0
	for _, pool := range config.Pools {
		last := m.reports[pool.ID]
		p := &Pool{ID: pool.ID, Parking: pool.Parking, ReportFresh: now.Sub(last.requestedAt) <= maxReportAge, Report: last.Report}
		f := m.forecasts[pool.ID]
		if f == nil {
			f = &forecast{window: m.ParkAfter}
			m.forecasts[pool.ID] = f
		}
		if p.ReportFresh {
			f.observe(last.requestedAt, &last.Report)
		}
		p.Need, p.Late, p.Peak = f.need(now)
		p.FillHistory = f.history.FillHistory
		s.Pools[pool.ID] = p
		if !pool.Parking {
			filled += p.filled()
		}
	}
	m.total.add(sample{at: now, need: filled})
	_, _, s.TotalPeak = m.total.need(now)
	for _, number := range slices.Sorted(maps.Keys(m.waves)) {
		s.Waves = append(s.Waves, m.waves[number])
	}
	for id, order := range m.vacating {
		if m.reports[list.Machines[id].Pool].vacateRequested[id] || list.Machines[id].Worker == "" {
			s.Vacating[id] = order
		}
	}
	return s
}

func (m *Manager) logDecision(d Decision) {
	for id, order := range d.Vacate {
		if _, before := m.vacating[id]; !before {
			m.Log.Info("maintenance: vacating machine", zap.String("instance", string(id)),
				zap.Int64("wave", order.Wave), zap.String("pool", string(order.Pool)), zap.String("why", order.Reason))
		}
	}
	for id, order := range m.vacating {
		if _, still := d.Vacate[id]; !still && !slices.ContainsFunc(d.Orders, func(o Order) bool { return o.Machine == id }) {
			m.Log.Info("maintenance: machine no longer vacated", zap.String("instance", string(id)),
				zap.Int64("wave", order.Wave), zap.Duration("after", m.Clock.Now().Sub(order.Since)))
		}
	}
}

// logPools logs the state of each pool once a second.
func (m *Manager) logPools(s *State) {
	if s.Now.Sub(m.poolsLoggedAt) < time.Second {
		return
	}
	m.poolsLoggedAt = s.Now
	m.Log.Info("maintenance: machines", zap.Float64("in_use", s.inUse()), zap.Float64("parked", s.machineCount(s.parkingID())),
		zap.Float64("total_peak", s.TotalPeak), zap.Bool("parks_surplus", s.parksSurplus))
	for _, id := range slices.Sorted(maps.Keys(s.Pools)) {
		p := s.Pools[id]
		m.Log.Info("maintenance: pool", zap.String("pool", string(id)), zap.Bool("known", p.ReportFresh),
			zap.Float64("need", p.Need), zap.Float64("late", p.Late), zap.Float64("peak", p.Peak), zap.Int("workers", len(p.Report.Workers)),
			zap.Int64("running_cpu", int64(p.Report.Running.CPU)), zap.Int64("waiting_cpu", int64(p.Report.Waiting.CPU)),
			zap.Int64("lasting_cpu", int64(p.Report.LongRunning.CPU)), zap.Int64("running_mb", p.Report.Running.MemoryMB),
			zap.Duration("list_age", s.Now.Sub(s.ListRequestedAt)))
	}
}
