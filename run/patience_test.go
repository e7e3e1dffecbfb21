package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// patienceCases are answers, by how long before now they came, and how long an
// order may wait now.
var patienceCases = map[string]struct {
	answers map[time.Duration]time.Duration
	want    time.Duration
}{
	"nothing known":                {want: maxOrderTimeout},
	"quick answers":                {answers: map[time.Duration]time.Duration{time.Second: 3 * time.Millisecond}, want: minOrderTimeout},
	"a slow one just now":          {answers: map[time.Duration]time.Duration{0: 100 * time.Millisecond}, want: 500 * time.Millisecond},
	"a slow one, a half-life ago":  {answers: map[time.Duration]time.Duration{answerHalfLife: 100 * time.Millisecond}, want: 250 * time.Millisecond},
	"a quick one after a slow one": {answers: map[time.Duration]time.Duration{answerHalfLife: 100 * time.Millisecond, 0: time.Millisecond}, want: 250 * time.Millisecond},
	"a very slow one":              {answers: map[time.Duration]time.Duration{0: time.Second}, want: maxOrderTimeout},
}

func TestPatience(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range patienceCases {
		t.Run(name, func(t *testing.T) {
			p := &orderTimeout{}
			for ago := 10 * time.Second; ago >= 0; ago -= time.Second {
				if took, given := c.answers[ago]; given {
					p.noteAnswer(now.Add(-ago), took)
				}
			}
			NewWithT(t).Expect(p.current(now)).To(BeNumerically("~", c.want, time.Millisecond))
		})
	}
}

// An owner that is too slow for its own limit must learn that; one silent worker must not
// keep the others' orders longer.
func TestPatienceWithoutAnswers(t *testing.T) {
	cases := map[string]struct {
		answeredBetween bool
		want            time.Duration
	}{
		"all unanswered":                  {want: 2 * minOrderTimeout},
		"a silent worker among the sound": {answeredBetween: true, want: minOrderTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			p := &orderTimeout{}
			p.noteAnswer(now, 3*time.Millisecond)
			for range timeoutsToRaise {
				p.noteTimeout(now, p.current(now))
				if c.answeredBetween {
					p.noteAnswer(now, 3*time.Millisecond)
				}
			}
			NewWithT(t).Expect(p.current(now)).To(Equal(c.want))
		})
	}
}

func TestPatienceIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := &orderTimeout{}
	p.noteAnswer(now, 3*time.Millisecond)
	for range 10 * timeoutsToRaise {
		p.noteTimeout(now, p.current(now))
	}
	NewWithT(t).Expect(p.current(now)).To(Equal(maxOrderTimeout))
}
