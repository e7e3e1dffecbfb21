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
		// offers are the offered work over time, for its rate.
		offers []offer
		fence  tw.Fence
	}

	sample struct {
		at   time.Time
		need float64
	}

	offer struct {
		at    time.Time
		work  run.Work
		count int64
	}
)

const (
	// rateWindow is the time over which the rate of offered work is measured:
	// short, as demand turns within a second. riseWindow is shorter, so that a
	// rise is seen at once where enough submissions come in it.
	rateWindow = 800 * time.Millisecond
	riseWindow = 300 * time.Millisecond
	// spreadSpare is how many workers a pool has beyond those over which its
	// widest step must spread, as one may be leaving.
	spreadSpare = 1
	// needAge is how old a sample may be to count as the present need.
	needAge = 3 * time.Second
	// rateDoubt is how many standard errors are taken off a rate of new work:
	// over a short window a few large submissions look like a flood.
	rateDoubt = 1.0
	// fill is the share of a pool's capacity that placement makes use of.
	fill = 0.85
)

// observe takes up a report.
func (f *forecast) observe(at time.Time, r *run.Report) {
	if !at.After(f.latest.at) {
		return
	}
	if r.Fence != f.fence {
		f.fence, f.offers = r.Fence, nil // a new owner counts from zero
	}
	f.offers = append(f.offers, offer{at: at, work: r.Offered, count: r.OfferedCount})
	for len(f.offers) > 2 && at.Sub(f.offers[1].at) >= rateWindow {
		f.offers = f.offers[1:]
	}
	f.add(sample{at: at, need: f.machines(r)})
}

// add takes up a sample. Earlier ones that are not above it can't be the highest
// of any window that is still to come, so they are dropped.
func (f *forecast) add(s sample) {
	f.latest = s
	for len(f.peaks) > 0 && f.peaks[len(f.peaks)-1].need <= s.need {
		f.peaks = f.peaks[:len(f.peaks)-1]
	}
	f.peaks = append(f.peaks, s)
}

// machines is how many machines a report asks for: what runs and waits now,
// or what the rate of new work will fill, whichever is more.
func (f *forecast) machines(r *run.Report) float64 {
	size := sizeOf(r)
	present := share(r.Running.Plus(r.Waiting), size)
	coming := share(r.Lasting, size) + f.rate(size)
	need := max(present, coming) / fill
	if r.Spread == 0 {
		return need
	}
	return max(need, float64(r.Spread+spreadSpare)/headroom)
}

// rate is the machines that new work fills if it goes on coming as of late. It is
// the higher of two windows, each less what may be chance: a pool whose demand
// rises fivefold has sent for its machines within half a second, when little of
// the new work runs or waits yet.
func (f *forecast) rate(size tw.Resources) float64 {
	return max(f.rateOver(rateWindow, size), f.rateOver(riseWindow, size))
}

func (f *forecast) rateOver(window time.Duration, size tw.Resources) float64 {
	if len(f.offers) < 2 {
		return 0
	}
	last := f.offers[len(f.offers)-1]
	first := f.offers[0]
	for _, o := range f.offers[1 : len(f.offers)-1] {
		if last.at.Sub(o.at) >= window {
			first = o
		}
	}
	seconds := last.at.Sub(first.at).Seconds()
	count := float64(last.count - first.count)
	if seconds <= 0 || count <= 0 {
		return 0
	}
	sure := max(0, 1-rateDoubt/math.Sqrt(count))
	return sure * share(tw.Resources{
		CPU:      tw.Millicores((last.work.CPU - first.work.CPU) / seconds),
		MemoryMB: int64((last.work.MemoryMB - first.work.MemoryMB) / seconds),
	}, size)
}

// need is the present need and the highest of the window.
func (f *forecast) need(now time.Time) (need, peak float64) {
	for len(f.peaks) > 0 && now.Sub(f.peaks[0].at) > f.window {
		f.peaks = f.peaks[1:]
	}
	if len(f.peaks) > 0 {
		peak = f.peaks[0].need
	}
	if now.Sub(f.latest.at) <= needAge {
		need = f.latest.need
	}
	return need, peak
}

// sizeOf is the size of the pool's machines; the largest, if they differ.
func sizeOf(r *run.Report) tw.Resources {
	var size tw.Resources
	for _, load := range r.Workers {
		size.CPU = max(size.CPU, load.Capacity.CPU)
		size.MemoryMB = max(size.MemoryMB, load.Capacity.MemoryMB)
	}
	return size
}
