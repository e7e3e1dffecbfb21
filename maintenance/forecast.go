package maintenance

import (
	"math"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// forecast estimates from the reports of a pool how many machines the pool needs.
	forecast struct {
		// window is the time over which the peak need is taken.
		window time.Duration
		latest sample
		// peaks holds the samples of the window that no later sample exceeds. The
		// first is the highest.
		peaks []sample
		// history tracks how many machines the work has filled.
		history fillTracker
		// offered holds recent totals of offered work, from which rates are derived.
		offered []offeredTotal
		fence   tw.FencingToken
	}

	// sample is the number of machines that on-time work needs, and that late work needs
	// in addition.
	sample struct {
		at         time.Time
		need, late float64
	}

	// offeredTotal is the total of the work offered to an owner so far.
	offeredTotal struct {
		at    time.Time
		work  run.Work
		count int64
	}

	// span is the work offered in an interval.
	span struct {
		work    run.Work
		count   float64
		seconds float64
	}
)

const (
	// rateWindow is the time over which the rate of offered work is measured. It
	// is short because demand changes within a second. shortWindow detects a
	// sudden rise sooner if enough submissions arrive in it.
	rateWindow  = 800 * time.Millisecond
	shortWindow = 300 * time.Millisecond
	// slopeWindow is the length of each of the two consecutive intervals from which
	// the rise of demand is derived.
	slopeWindow = 600 * time.Millisecond
	// moveLeadTime is the time from ordering a machine until it can do work: a move takes
	// 1.5 s, and it takes 0.43 s more until the list of workers shows the machine.
	moveLeadTime = 2 * time.Second
	// slopeErrorMargin is the number of standard errors subtracted from a rise. maxRateGrowth
	// limits the projected rate to a multiple of the current one.
	slopeErrorMargin = 1.5
	maxRateGrowth    = 2
	// spreadMargin is the number of workers that a pool needs beyond those over which
	// its widest step must be spread, as one may be leaving.
	spreadMargin = 1
	// maxSampleAge is the maximum age of a sample that counts as the current need.
	maxSampleAge = 3 * time.Second
	// rateErrorMargin is the number of standard errors subtracted from a rate of new work,
	// as a few large submissions in a short window look like a surge.
	rateErrorMargin = 1.0
	// usableShare is the share of a pool's capacity that placement can use.
	usableShare = 0.85
)

// observe adds a report that was requested at the given time.
func (f *forecast) observe(at time.Time, r *run.Report) {
	if !at.After(f.latest.at) {
		return
	}
	if r.Fence != f.fence {
		f.fence, f.offered = r.Fence, nil // the totals of a new owner start from zero
	}
	f.offered = append(f.offered, offeredTotal{at: at, work: r.Offered, count: r.OfferedCount})
	for len(f.offered) > 2 && at.Sub(f.offered[1].at) >= 2*slopeWindow {
		f.offered = f.offered[1:]
	}
	f.add(sample{at: at, need: f.machinesNeeded(r), late: machinesFor(r.Late, machineSize(r)) / usableShare})
	size := machineSize(r)
	filled := machinesFor(r.Running.Plus(r.Waiting).Minus(r.LongRunning), size)
	waiting := min(filled, machinesFor(r.Waiting, size))
	f.history.observe(at, (filled-waiting)/usableShare, waiting/usableShare, int64(f.offeredBetween(2*slopeWindow, 0).count))
}

// add adds a sample. It drops earlier samples that are not above it, as they cannot be the
// peak of any later window.
func (f *forecast) add(s sample) {
	f.latest = s
	for len(f.peaks) > 0 && f.peaks[len(f.peaks)-1].total() <= s.total() {
		f.peaks = f.peaks[:len(f.peaks)-1]
	}
	f.peaks = append(f.peaks, s)
}

// total returns what on-time and late work need together.
func (s sample) total() float64 { return s.need + s.late }

// machinesNeeded returns how many machines the on-time work of a report needs: for the work that
// runs and waits now or for the expected rate of new work, whichever is more.
func (f *forecast) machinesNeeded(r *run.Report) float64 {
	size := machineSize(r)
	present := machinesFor(r.Running.Plus(r.Waiting), size)
	expected := machinesFor(r.LongRunning, size) + f.newWorkMachines(size)
	need := max(present, expected) / usableShare
	if r.MinWorkers == 0 {
		return need
	}
	return max(need, float64(r.MinWorkers+spreadMargin)/headroom)
}

// newWorkMachines returns how many machines new work will fill by the time that a machine
// ordered now can do work. It is the highest of two recent rates and a projected one, each
// reduced by its statistical error.
func (f *forecast) newWorkMachines(size tw.Resources) float64 {
	return max(f.rateOver(rateWindow, size), f.rateOver(shortWindow, size), f.projectedRate(size))
}

// rateOver returns the machines that new work at the rate of the last window fills.
func (f *forecast) rateOver(window time.Duration, size tw.Resources) float64 {
	s := f.offeredBetween(window, 0)
	if s.count <= 0 {
		return 0
	}
	return max(0, 1-rateErrorMargin/math.Sqrt(s.count)) * s.machines(size)
}

// projectedRate extrapolates the rise of demand to the time at which a machine ordered now can do
// work. It returns zero if the rise is within the statistical error.
func (f *forecast) projectedRate(size tw.Resources) float64 {
	early, late := f.offeredBetween(2*slopeWindow, slopeWindow), f.offeredBetween(slopeWindow, 0)
	if early.seconds <= 0 || late.seconds <= 0 {
		return 0
	}
	increase := late.count/late.seconds - early.count/early.seconds
	margin := slopeErrorMargin * math.Sqrt(late.count+early.count) / slopeWindow.Seconds()
	if increase <= margin {
		return 0
	}
	now := late.machines(size)
	rise := (1 - margin/increase) * (now - early.machines(size)) / slopeWindow.Seconds()
	return min(maxRateGrowth*now, now+rise*(moveLeadTime+slopeWindow/2).Seconds())
}

// offeredBetween returns the work offered between two ages, relative to the last report.
func (f *forecast) offeredBetween(from, to time.Duration) span {
	first, last := f.totalAt(from), f.totalAt(to)
	return span{
		work:    run.Work{CPU: last.work.CPU - first.work.CPU, MemoryMB: last.work.MemoryMB - first.work.MemoryMB},
		count:   float64(last.count - first.count),
		seconds: last.at.Sub(first.at).Seconds(),
	}
}

// totalAt returns the latest total of at least the given age, or the first one.
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

// machines returns how many machines the span's work fills.
func (s span) machines(size tw.Resources) float64 {
	if s.seconds <= 0 {
		return 0
	}
	return machinesFor(tw.Resources{CPU: tw.Millicores(s.work.CPU / s.seconds), MemoryMB: int64(s.work.MemoryMB / s.seconds)}, size)
}

// need returns the machines that on-time work needs now, those that late work needs in
// addition, and the peak of their sum within the window.
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

// machineSize returns the size of the pool's machines, or the largest of each resource if they
// differ. Only workers that have answered count, unless none has: the entry of another one may claim
// any size, and the pool would seem to need no machines.
func machineSize(r *run.Report) tw.Resources {
	var answered, listed tw.Resources
	for _, load := range r.Workers {
		listed = largest(listed, load.Capacity)
		if load.Known {
			answered = largest(answered, load.Capacity)
		}
	}
	if answered == (tw.Resources{}) {
		return listed
	}
	return answered
}

func largest(a, b tw.Resources) tw.Resources {
	return tw.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB)}
}
