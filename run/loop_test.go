package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// manualClock is a clock that a test sets.
type manualClock struct {
	tw.SystemClock
	at time.Time
}

func (c *manualClock) Now() time.Time { return c.at }

// TestDrainEventsUpdatesTime checks that each queued event is handled with the current time. A loop
// that read the time once for up to 1,024 queued events recorded a worker's answer with a time
// before it was given, if an earlier event took long, as on a daemon without processor time. It
// then believed the worker's clock to be ahead (here by 3 s), set deadlines that much too late, and
// started subtasks again while their runs were still allowed to go on.
func TestDrainEventsUpdatesTime(t *testing.T) {
	g := NewWithT(t)
	began := time.Now()
	clock := &manualClock{at: began}
	o := &Owner{clock: clock, now: began, events: make(chan func(), eventQueueSize)}
	w := &worker{}
	const answered tw.WorkerTime = 5000
	o.events <- func() { clock.at = began.Add(3 * time.Second) } // handling it took 3 s
	o.events <- func() { w.noteAnswer(o.now, answered) }
	o.drainEvents()
	g.Expect(w.estimateClock(clock.at)).To(Equal(answered))
}

// TestEarlier checks that a zero time means never, in either argument. When a zero first argument
// won, the loop had no next wake-up time and waited for another event.
func TestEarlier(t *testing.T) {
	t1 := time.Now()
	t2 := t1.Add(time.Second)
	for name, c := range map[string]struct{ a, b, want time.Time }{
		"the first":     {t1, t2, t1},
		"the second":    {t2, t1, t1},
		"never, a time": {time.Time{}, t2, t2},
		"a time, never": {t2, time.Time{}, t2},
		"never":         {},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(earlier(c.a, c.b)).To(Equal(c.want))
		})
	}
}
