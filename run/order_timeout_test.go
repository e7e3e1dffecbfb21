package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// orderTimeoutCases are answer times, by how long ago the answers arrived, and the resulting
// timeout.
var orderTimeoutCases = map[string]struct {
	answers map[time.Duration]time.Duration
	want    time.Duration
}{
	"no answers":                      {want: maxOrderTimeout},
	"quick answers":                   {answers: map[time.Duration]time.Duration{time.Second: 3 * time.Millisecond}, want: minOrderTimeout},
	"a slow answer just now":          {answers: map[time.Duration]time.Duration{0: 100 * time.Millisecond}, want: 500 * time.Millisecond},
	"a slow answer a half-life ago":   {answers: map[time.Duration]time.Duration{answerHalfLife: 100 * time.Millisecond}, want: 250 * time.Millisecond},
	"a quick answer after a slow one": {answers: map[time.Duration]time.Duration{answerHalfLife: 100 * time.Millisecond, 0: time.Millisecond}, want: 250 * time.Millisecond},
	"a very slow answer":              {answers: map[time.Duration]time.Duration{0: time.Second}, want: maxOrderTimeout},
}

func TestOrderTimeout(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range orderTimeoutCases {
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

// TestPatienceWithoutAnswers checks that an owner that is too slow for its own timeout raises
// it, and that one silent worker does not raise the timeout for the others.
func TestPatienceWithoutAnswers(t *testing.T) {
	cases := map[string]struct {
		answeredBetween bool
		want            time.Duration
	}{
		"all unanswered":    {want: 2 * minOrderTimeout},
		"one silent worker": {answeredBetween: true, want: minOrderTimeout},
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

// TestOrderTimeoutIsBounded checks that repeated timeouts of orders never raise the timeout above
// maxOrderTimeout.
func TestOrderTimeoutIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := &orderTimeout{}
	p.noteAnswer(now, 3*time.Millisecond)
	for range 10 * timeoutsToRaise {
		p.noteTimeout(now, p.current(now))
	}
	NewWithT(t).Expect(p.current(now)).To(Equal(maxOrderTimeout))
}
