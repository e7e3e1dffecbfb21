package maintenance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/run"
)

// needCases are samples of a pool's need by age, with the forecast need and peak for
// a window of ten seconds.
var needCases = map[string]struct {
	samples    map[time.Duration]float64
	need, peak float64
}{
	"no samples":                {},
	"latest sample is the need": {samples: map[time.Duration]float64{2 * time.Second: 4, time.Second: 7}, need: 7, peak: 7},
	"highest of the window":     {samples: map[time.Duration]float64{9 * time.Second: 9, 8 * time.Second: 3, time.Second: 5}, need: 5, peak: 9},
	"sample before the window":  {samples: map[time.Duration]float64{11 * time.Second: 9, 8 * time.Second: 3, time.Second: 2}, need: 2, peak: 3},
	"stale sample is no need":   {samples: map[time.Duration]float64{8 * time.Second: 3}, need: 0, peak: 3},
}

func TestForecastNeed(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range needCases {
		t.Run(name, func(t *testing.T) {
			f := forecast{window: 10 * time.Second}
			for age := 20 * time.Second; age >= 0; age -= time.Second {
				if need, given := c.samples[age]; given {
					f.add(sample{at: now.Add(-age), need: need})
				}
			}
			need, _, peak := f.need(now)
			g := NewWithT(t)
			g.Expect(need).To(Equal(c.need))
			g.Expect(peak).To(Equal(c.peak))
		})
	}
}

// riseCases are the numbers of submissions offered in each tenth of a second, with bounds for
// the number of machines that the forecast then gives as needed. Four machines are busy.
var riseCases = map[string]struct {
	offered     []int64
	work        float64 // machine seconds of each submission
	least, most float64
}{
	"steady rate":                          {offered: []int64{4, 4, 4, 4, 4, 4, 4, 4, 4, 4}, work: 0.1, least: 4 / usableShare, most: 6},
	"sudden rise is detected within 0.3 s": {offered: []int64{1, 1, 1, 1, 1, 1, 1, 15, 15, 15}, work: 1, least: 100, most: 200},
	"ramp is extrapolated":                 {offered: []int64{0, 0, 1, 1, 0, 1, 2, 2, 4, 5, 6, 7, 9, 10, 11}, work: 1, least: 130, most: 300},
	"a single large submission is no rise": {offered: []int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, work: 50, least: 4 / usableShare, most: 5},
	"only running work is left":            {offered: []int64{15, 15, 15, 0, 0, 0, 0, 0, 0, 0, 0, 0}, work: 1, least: 4 / usableShare, most: 5},
}

// TestForecastSteady checks that random variation of a steady demand changes the mean forecast
// need by at most 15 %.
func TestForecastSteady(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	size := tw.Resources{CPU: 16000, MemoryMB: 64000}
	f := forecast{window: time.Minute}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := run.Report{Workers: []run.WorkerLoad{{Capacity: size}}}
	const perTenth, samples = 15, 600 // 15 machine seconds per tenth of a second fill 150 machines
	sum := 0.0
	for range samples {
		now = now.Add(100 * time.Millisecond)
		for range 10 * perTenth {
			if random.IntN(10) == 0 {
				r.OfferedCount++
				r.Offered.CPU += float64(size.CPU)
			}
		}
		f.observe(now, &r)
		need, _, _ := f.need(now)
		sum += need
	}
	g.Expect(sum / samples * usableShare).To(BeNumerically("~", 10*perTenth, 1.5*perTenth))
}

func TestForecastRise(t *testing.T) {
	size := tw.Resources{CPU: 16000, MemoryMB: 64000}
	for name, c := range riseCases {
		t.Run(name, func(t *testing.T) {
			f := forecast{window: time.Minute}
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			r := run.Report{
				Running: tw.Resources{CPU: 4 * size.CPU, MemoryMB: 4 * size.MemoryMB},
				Workers: []run.WorkerLoad{{Capacity: size}},
			}
			for _, n := range c.offered {
				now = now.Add(100 * time.Millisecond)
				r.OfferedCount += n
				r.Offered.CPU += float64(n) * c.work * float64(size.CPU)
				f.observe(now, &r)
			}
			need, _, _ := f.need(now)
			g := NewWithT(t)
			g.Expect(need).To(BeNumerically(">=", c.least))
			g.Expect(need).To(BeNumerically("<=", c.most))
		})
	}
}

// sizeCases are the workers of a pool and the size that its machines count as.
var sizeCases = map[string]struct {
	workers []run.WorkerLoad
	want    tw.Resources
}{
	"the largest that has answered": {
		workers: []run.WorkerLoad{
			{Known: true, Capacity: tw.Resources{CPU: 1000, MemoryMB: 3000}}, {Known: true, Capacity: tw.Resources{CPU: 2000, MemoryMB: 2000}},
		},
		want: tw.Resources{CPU: 2000, MemoryMB: 3000},
	},
	"not one that has not answered": {
		workers: []run.WorkerLoad{
			{Known: true, Capacity: tw.Resources{CPU: 1000, MemoryMB: 3000}}, {Capacity: tw.Resources{CPU: 1 << 40, MemoryMB: 1 << 40}},
		},
		want: tw.Resources{CPU: 1000, MemoryMB: 3000},
	},
	"what is listed before any has answered": {
		workers: []run.WorkerLoad{{Capacity: tw.Resources{CPU: 1000, MemoryMB: 3000}}},
		want:    tw.Resources{CPU: 1000, MemoryMB: 3000},
	},
	"none": {},
}

// TestMachineSize guards against a pool that loses its machines because an entry that no worker
// answers for claims to be a huge worker.
func TestMachineSize(t *testing.T) {
	for name, c := range sizeCases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(machineSize(&run.Report{Workers: c.workers})).To(Equal(c.want))
		})
	}
}
