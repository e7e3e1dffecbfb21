package maintenance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// needCases are samples of a pool's need, by their age, and what is made of
// them with a window of ten seconds.
var needCases = map[string]struct {
	samples    map[time.Duration]float64
	need, peak float64
}{
	"nothing known":               {},
	"the latest is the present":   {samples: map[time.Duration]float64{2 * time.Second: 4, time.Second: 7}, need: 7, peak: 7},
	"the highest of the window":   {samples: map[time.Duration]float64{9 * time.Second: 9, 8 * time.Second: 3, time.Second: 5}, need: 5, peak: 9},
	"not what is before it":       {samples: map[time.Duration]float64{11 * time.Second: 9, 8 * time.Second: 3, time.Second: 2}, need: 2, peak: 3},
	"an old one is not a present": {samples: map[time.Duration]float64{8 * time.Second: 3}, need: 0, peak: 3},
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
			need, peak := f.need(now)
			g := NewWithT(t)
			g.Expect(need).To(Equal(c.need))
			g.Expect(peak).To(Equal(c.peak))
		})
	}
}
