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
		// filled tells how many machines work has filled.
		filled FillHistory
		// offers are the offered work over time, for its rate.
		offers []offer
		fence  tw.Fence
	}

	// sample is how many machines work in time needs, and late work beyond it.
	sample struct {
		at         time.Time
		need, late float64
	}

	offer struct {
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
	// moveAhead is how long before it can work a machine must be ordered: a move
	// takes 1.5 s, and 0.43 s pass until the list of workers has it.
	moveAhead = 2 * time.Second
	// slopeDoubt is how many standard errors are taken off a rise, slopeMost how many
	// times the present rate a rise may lead to.
	slopeDoubt = 1.5
	slopeMost  = 2
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
	for len(f.offers) > 2 && at.Sub(f.offers[1].at) >= 2*slopeWindow {
		f.offers = f.offers[1:]
	}
	f.add(sample{at: at, need: f.machines(r), late: share(r.Late, sizeOf(r)) / fill})
	f.filled.note(share(r.Running.Plus(r.Waiting), sizeOf(r)) / fill)
}

// add takes up a sample. Earlier ones that are not above it can't be the highest
// of any window that is still to come, so they are dropped.
func (f *forecast) add(s sample) {
	f.latest = s
	for len(f.peaks) > 0 && f.peaks[len(f.peaks)-1].all() <= s.all() {
		f.peaks = f.peaks[:len(f.peaks)-1]
	}
	f.peaks = append(f.peaks, s)
}

// all is what on-time and late work need together.
func (s sample) all() float64 { return s.need + s.late }

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

// rate is the machines that new work will fill once a machine that is ordered now
// can work: the highest of two rates of late and of where a rise leads, each less
// what may be chance.
func (f *forecast) rate(size tw.Resources) float64 {
	return max(f.rateOver(rateWindow, size), f.rateOver(shortWindow, size), f.risen(size))
}

// rateOver is the rate of the last time.
func (f *forecast) rateOver(window time.Duration, size tw.Resources) float64 {
	s := f.between(window, 0)
	if s.count <= 0 {
		return 0
	}
	return max(0, 1-rateDoubt/math.Sqrt(s.count)) * s.machines(size)
}

// risen is the rate to which demand has risen by the time that a machine ordered
// now can work, if it goes on rising as of late; zero if it does not rise for sure.
func (f *forecast) risen(size tw.Resources) float64 {
	early, late := f.between(2*slopeWindow, slopeWindow), f.between(slopeWindow, 0)
	if early.seconds <= 0 || late.seconds <= 0 {
		return 0
	}
	more := late.count/late.seconds - early.count/early.seconds
	chance := slopeDoubt * math.Sqrt(late.count+early.count) / slopeWindow.Seconds()
	if more <= chance {
		return 0
	}
	now := late.machines(size)
	rise := (1 - chance/more) * (now - early.machines(size)) / slopeWindow.Seconds()
	return min(slopeMost*now, now+rise*(moveAhead+slopeWindow/2).Seconds())
}

// between is what was offered between two ages of the last report.
func (f *forecast) between(from, to time.Duration) span {
	first, last := f.asOf(from), f.asOf(to)
	return span{
		work:    run.Work{CPU: last.work.CPU - first.work.CPU, MemoryMB: last.work.MemoryMB - first.work.MemoryMB},
		count:   float64(last.count - first.count),
		seconds: last.at.Sub(first.at).Seconds(),
	}
}

// asOf is the latest report of an age, or the first.
func (f *forecast) asOf(age time.Duration) offer {
	if len(f.offers) == 0 {
		return offer{}
	}
	at := f.offers[len(f.offers)-1].at.Add(-age)
	for i := len(f.offers) - 1; i > 0; i-- {
		if !f.offers[i].at.After(at) {
			return f.offers[i]
		}
	}
	return f.offers[0]
}

// machines is how many machines the span's work fills.
func (s span) machines(size tw.Resources) float64 {
	if s.seconds <= 0 {
		return 0
	}
	return share(tw.Resources{CPU: tw.Millicores(s.work.CPU / s.seconds), MemoryMB: int64(s.work.MemoryMB / s.seconds)}, size)
}

// need is what on-time work needs at present and late work beyond it, and the highest
// of both of the window.
func (f *forecast) need(now time.Time) (need, late, peak float64) {
	for len(f.peaks) > 0 && now.Sub(f.peaks[0].at) > f.window {
		f.peaks = f.peaks[1:]
	}
	if len(f.peaks) > 0 {
		peak = f.peaks[0].all()
	}
	if now.Sub(f.latest.at) <= needAge {
		need, late = f.latest.need, f.latest.late
	}
	return need, late, peak
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
