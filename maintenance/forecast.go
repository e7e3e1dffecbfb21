package maintenance

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// forecast works out how many machines a pool needs, from its reports.
	forecast struct {
		// window is the time over which the highest need counts.
		window time.Duration
		latest sample
		// peaks are the samples of the window above which none came later, so
		// that the first is the highest.
		peaks []sample
		// history tells how many machines work has history.
		history FillHistory
		// offered are the offered work over time, for its rate.
		offered []offeredTotal
		fence   tw.FencingToken
	}

	// sample is how many machines work in time needs, and late work beyond it.
	sample struct {
		at         time.Time
		need, late float64
	}

	offeredTotal struct {
		at    time.Time
		work  run.Work
		count int64
	}

	// span is what was offered in some time.
	span struct {
		work    run.Work
		count   float64
		seconds float64
	}
)

const (
	// rateWindow is the time over which the rate of offered work is measured:
	// short, as demand turns within a second. shortWindow is shorter, so that a
	// step up is seen at once where enough submissions come in it.
	rateWindow  = 800 * time.Millisecond
	shortWindow = 300 * time.Millisecond
	// slopeWindow: two such times that follow each other tell how demand rises.
	slopeWindow = 600 * time.Millisecond
	// moveLeadTime is how long before it can work a machine must be ordered: a move
	// takes 1.5 s, and 0.43 s pass until the list of workers has it.
	moveLeadTime = 2 * time.Second
	// slopeErrorMargin is how many standard errors are taken off a rise, slopeMost how many
	// times the present rate a rise may lead to.
	slopeErrorMargin = 1.5
	maxRateGrowth    = 2
	// spreadMargin is how many workers a pool has beyond those over which its
	// widest step must spread, as one may be leaving.
	spreadMargin = 1
	// maxSampleAge is how old a sample may be to count as the present need.
	maxSampleAge = 3 * time.Second
	// rateErrorMargin is how many standard errors are taken off a rate of new work:
	// over a short window a few large submissions look like a flood.
	rateErrorMargin = 1.0
	// usableShare is the share of a pool's capacity that placement makes use of.
	usableShare = 0.85
)

// observe takes up a report.
func (f *forecast) observe(at time.Time, r *run.Report) {
	if !at.After(f.latest.at) {
		return
	}
	if r.Fence != f.fence {
		f.fence, f.offered = r.Fence, nil // a new owner counts from zero
	}
	f.offered = append(f.offered, offeredTotal{at: at, work: r.Offered, count: r.OfferedCount})
	for len(f.offered) > 2 && at.Sub(f.offered[1].at) >= 2*slopeWindow {
		f.offered = f.offered[1:]
	}
	f.add(sample{at: at, need: f.machinesNeeded(r), late: machinesFor(r.Late, machineSize(r)) / usableShare})
	f.history.observe(machinesFor(r.Running.Plus(r.Waiting), machineSize(r)) / usableShare)
}

// add takes up a sample. Earlier ones that are not above it can't be the highest
// of any window that is still to come, so they are dropped.
func (f *forecast) add(s sample) {
	f.latest = s
	for len(f.peaks) > 0 && f.peaks[len(f.peaks)-1].total() <= s.total() {
		f.peaks = f.peaks[:len(f.peaks)-1]
	}
	f.peaks = append(f.peaks, s)
}

// total is what on-time and late work need together.
func (s sample) total() float64 { return s.need + s.late }

// machinesNeeded is how many machinesNeeded a report asks for: what runs and waits now,
// or what the rate of new work will fill, whichever is more.
func (f *forecast) machinesNeeded(r *run.Report) float64 {
	size := machineSize(r)
	present := machinesFor(r.Running.Plus(r.Waiting), size)
	coming := machinesFor(r.LongRunning, size) + f.newWorkMachines(size)
	need := max(present, coming) / usableShare
	if r.MinWorkers == 0 {
		return need
	}
	return max(need, float64(r.MinWorkers+spreadMargin)/headroom)
}

// newWorkMachines is the machines that new work will fill once a machine that is ordered now
// can work: the highest of two rates of late and of where a rise leads, each less
// what may be chance.
func (f *forecast) newWorkMachines(size tw.Resources) float64 {
	return max(f.rateOver(rateWindow, size), f.rateOver(shortWindow, size), f.projectedRate(size))
}

// rateOver is the rate of the last time.
func (f *forecast) rateOver(window time.Duration, size tw.Resources) float64 {
	s := f.offeredBetween(window, 0)
	if s.count <= 0 {
		return 0
	}
	return max(0, 1-rateErrorMargin/math.Sqrt(s.count)) * s.machines(size)
}

// projectedRate is the rate to which demand has projectedRate by the time that a machine ordered
// now can work, if it goes on rising as of late; zero if it does not rise for sure.
func (f *forecast) projectedRate(size tw.Resources) float64 {
	early, late := f.offeredBetween(2*slopeWindow, slopeWindow), f.offeredBetween(slopeWindow, 0)
	if early.seconds <= 0 || late.seconds <= 0 {
		return 0
	}
	more := late.count/late.seconds - early.count/early.seconds
	chance := slopeErrorMargin * math.Sqrt(late.count+early.count) / slopeWindow.Seconds()
	if more <= chance {
		return 0
	}
	now := late.machines(size)
	rise := (1 - chance/more) * (now - early.machines(size)) / slopeWindow.Seconds()
	return min(maxRateGrowth*now, now+rise*(moveLeadTime+slopeWindow/2).Seconds())
}

// offeredBetween is what was offered offeredBetween two ages of the last report.
func (f *forecast) offeredBetween(from, to time.Duration) span {
	first, last := f.totalAt(from), f.totalAt(to)
	return span{
		work:    run.Work{CPU: last.work.CPU - first.work.CPU, MemoryMB: last.work.MemoryMB - first.work.MemoryMB},
		count:   float64(last.count - first.count),
		seconds: last.at.Sub(first.at).Seconds(),
	}
}

// totalAt is the latest report of an age, or the first.
func (f *forecast) totalAt(age time.Duration) offeredTotal {
	if len(f.offered) == 0 {
		return offeredTotal{}
	}
	at := f.offered[len(f.offered)-1].at.Add(-age)
	for i := len(f.offered) - 1; i > 0; i-- {
		if !f.offered[i].at.After(at) {
			return f.offered[i]
		}
	}
	return f.offered[0]
}

// machines is how many machines the span's work fills.
func (s span) machines(size tw.Resources) float64 {
	if s.seconds <= 0 {
		return 0
	}
	return machinesFor(tw.Resources{CPU: tw.Millicores(s.work.CPU / s.seconds), MemoryMB: int64(s.work.MemoryMB / s.seconds)}, size)
}

// need is what on-time work needs at present and late work beyond it, and the highest
// of both of the window.
func (f *forecast) need(now time.Time) (need, late, peak float64) {
	for len(f.peaks) > 0 && now.Sub(f.peaks[0].at) > f.window {
		f.peaks = f.peaks[1:]
	}
	if len(f.peaks) > 0 {
		peak = f.peaks[0].total()
	}
	if now.Sub(f.latest.at) <= maxSampleAge {
		need, late = f.latest.need, f.latest.late
	}
	return need, late, peak
}

// machineSize is the size of the pool's machines; the largest, if they differ.
func machineSize(r *run.Report) tw.Resources {
	var size tw.Resources
	for _, load := range r.Workers {
		size.CPU = max(size.CPU, load.Capacity.CPU)
		size.MemoryMB = max(size.MemoryMB, load.Capacity.MemoryMB)
	}
	return size
}
