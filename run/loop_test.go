package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// handClock is a clock that a test moves by hand.
type handClock struct {
	tw.SystemClock
	at time.Time
}

func (c *handClock) Now() time.Time { return c.at }

// The loop took the time once and then handled up to 1,024 events by it. Where one of
// them took long, as on a daemon that got no processor time meanwhile, the answer of
// a worker that had come during it was noted with a time before it was given. The
// worker's clock was then taken to be ahead by that much, here 3 s, and so its grants
// ran out so much later than the owner believed, which starts again what has lapsed.
func TestDrainEventsByTheirTime(t *testing.T) {
	g := NewWithT(t)
	began := time.Now()
	clock := &handClock{at: began}
	o := &Owner{clock: clock, now: began, events: make(chan func(), eventQueueSize)}
	w := &worker{}
	const answered tw.WorkerTime = 5000
	o.events <- func() { clock.at = began.Add(3 * time.Second) } // it took so long
	o.events <- func() { w.noteAnswer(o.now, answered) }
	o.drainEvents()
	g.Expect(w.estimateClock(clock.at)).To(Equal(answered))
}

// Zero is never, for both of the times. Where the first was zero the result was, so that
// no duty of the loop ever said when it is due next, and waited for another event.
func TestEarlier(t *testing.T) {
	soon := time.Now()
	late := soon.Add(time.Second)
	for name, c := range map[string]struct{ a, b, want time.Time }{
		"the first":     {soon, late, soon},
		"the second":    {late, soon, soon},
		"never, a time": {time.Time{}, late, late},
		"a time, never": {late, time.Time{}, late},
		"never":         {},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(earlier(c.a, c.b)).To(Equal(c.want))
		})
	}
}
