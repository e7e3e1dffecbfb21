package maintenance

import (
	"context"
	"sync"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// endedWorker is a worker that a successful order has ended.
	endedWorker struct {
		pool tw.PoolID
		at   time.Time
	}

	// report is the last report of a pool's owner.
	report struct {
		run.Report
		requestedAt time.Time
		// vacateRequested holds the machines that the request asked the owner to vacate.
		vacateRequested map[tw.InstanceID]bool
	}
)

const (
	// endedNoticeTime is how long owners are notified of an ended worker. The worker is
	// removed from the list of workers after three missed status reports, about 5 s.
	endedNoticeTime = 8 * time.Second
	// workerListLag is how long the list of workers may lag behind the list of machines, for
	// most workers.
	workerListLag = 600 * time.Millisecond
	// reportTimeout limits a call for a report.
	reportTimeout = 400 * time.Millisecond
)

// collect requests reports from the owners of all pools concurrently. Each request carries
// the pool's directions: the machines to vacate, the workers that have ended, and the
// running workers that are missing from the reports of all owners.
func (m *Manager) collect(config *tw.QueueConfig) {
	directions := m.directions()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(m.ctx, reportTimeout)
	defer cancel()
	for _, pool := range config.Pools {
		wg.Go(func() {
			requestedAt := m.Clock.Now()
			d := directions[pool.ID]
			got, err := m.Owners.ReportOf(ctx, pool.ID, d)
			if err != nil {
				return // decisions use the last report until it is older than maxReportAge
			}
			mu.Lock()
			defer mu.Unlock()
			m.reports[pool.ID] = report{Report: got, requestedAt: requestedAt, vacateRequested: setOf(d.Vacate)}
		})
	}
	wg.Wait()
}

// directions returns the directions to the owners, by pool.
func (m *Manager) directions() map[tw.PoolID]run.Directions {
	out := map[tw.PoolID]run.Directions{}
	vacate := func(pool tw.PoolID, id tw.InstanceID) {
		d := out[pool]
		d.Vacate = append(d.Vacate, id)
		out[pool] = d
	}
	list := m.MachineCache.Latest()
	if list != nil {
		for id := range m.vacating {
			vacate(list.Machines[id].Pool, id)
		}
		m.addRunning(list, out)
		m.addUpcoming(list, out)
	}
	// The machine of an order may go down or leave its pool before the lists show this, so the
	// owner must place no work there in the meantime.
	for id, order := range m.ordered {
		switch {
		case order.From != "":
			vacate(order.From, id)
		case list != nil: // ordered by a former manager
			vacate(list.Machines[id].Pool, id)
		}
	}
	for id, worker := range m.ended {
		if m.Clock.Now().Sub(worker.at) > endedNoticeTime {
			delete(m.ended, id)
			continue
		}
		d := out[worker.pool]
		d.Gone, d.GoneFor = append(d.Gone, id), append(d.GoneFor, m.Clock.Now().Sub(worker.at))
		out[worker.pool] = d
	}
	return out
}

// addUpcoming adds to the directions the machines that are still to be taken down for a wave.
func (m *Manager) addUpcoming(list *run.MachineList, out map[tw.PoolID]run.Directions) {
	for _, w := range m.waves {
		if w.Finished {
			continue
		}
		for _, id := range w.Machines {
			machine, found := list.Machines[id]
			if !found || w.Done[id] || machine.State != tw.MachineUp || machine.Worker == "" {
				continue
			}
			d := out[machine.Pool]
			d.Upcoming = append(d.Upcoming, id)
			out[machine.Pool] = d
		}
	}
}

// addRunning adds to the directions the workers that run on a pool's machines but have been
// missing from all reports for longer than the list of workers may lag. The owner then rereads
// that list, as its watch may have stalled. addRunning also updates m.missing.
func (m *Manager) addRunning(list *run.MachineList, out map[tw.PoolID]run.Directions) {
	now := m.Clock.Now()
	reported := m.reportedWorkers()
	missing := map[tw.WorkerID]time.Time{}
	for _, machine := range list.Machines {
		id := machine.Worker
		if id == "" || machine.State != tw.MachineUp || reported[id] {
			continue
		}
		if _, gone := m.ended[id]; gone {
			continue
		}
		since, known := m.missing[id]
		if !known {
			since = now
		}
		missing[id] = since
		if now.Sub(since) > workerListLag {
			d := out[machine.Pool]
			d.Running = append(d.Running, id)
			out[machine.Pool] = d
		}
	}
	m.missing = missing
}

// reportedWorkers returns the workers in the last reports of all owners.
func (m *Manager) reportedWorkers() map[tw.WorkerID]bool {
	out := map[tw.WorkerID]bool{}
	for _, r := range m.reports {
		for _, load := range r.Workers {
			out[load.Worker] = true
		}
	}
	return out
}

func setOf(ids []tw.InstanceID) map[tw.InstanceID]bool {
	out := make(map[tw.InstanceID]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}
