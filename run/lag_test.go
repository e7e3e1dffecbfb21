package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/agecheck"
)

// lagPhase is a time in which answers are handled at an interval, each some time after its arrival.
type lagPhase struct {
	lasts, every, lag time.Duration
}

func TestHandlingLag(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	calm := lagPhase{lasts: time.Second, every: ms, lag: 100 * time.Microsecond}
	slow := lagPhase{lasts: 100 * ms, every: ms, lag: 8 * ms}
	cases := map[string]struct {
		phases []lagPhase
		want   bool
	}{
		"nothing known":               {},
		"keeps up":                    {phases: []lagPhase{calm}},
		"does not keep up":            {phases: []lagPhase{calm, slow}, want: true},
		"soon notices":                {phases: []lagPhase{calm, {lasts: 20 * ms, every: ms, lag: 8 * ms}}, want: true},
		"a single late answer":        {phases: []lagPhase{calm, {lasts: ms, every: ms, lag: 40 * ms}}},
		"few answers, all late":       {phases: []lagPhase{{lasts: 3 * time.Second, every: time.Second, lag: 8 * ms}}},
		"keeps up again":              {phases: []lagPhase{slow, {lasts: 100 * ms, every: ms, lag: ms / 10}}},
		"between the two limits":      {phases: []lagPhase{slow, {lasts: time.Second, every: ms, lag: 2 * ms}}, want: true},
		"between the limits, at rest": {phases: []lagPhase{calm, {lasts: time.Second, every: ms, lag: 2 * ms}}},
		"nothing to do any more":      {phases: []lagPhase{slow, {lasts: 500 * ms, every: time.Hour}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var l handlingLag
			now := time.Unix(1000, 0)
			for _, p := range c.phases {
				end := now.Add(p.lasts)
				for at := now.Add(p.every); !at.After(end); at = at.Add(p.every) {
					l.note(at, at.Add(-p.lag))
				}
				now = end
			}
			NewWithT(t).Expect(l.isBusy(now)).To(Equal(c.want))
		})
	}
}

// TestBusyOwnerGivesWay checks what an owner leaves out while answers wait to be handled, although its
// send window is not full, and that it comes back.
func TestBusyOwnerGivesWay(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	o := &Owner{now: now, window: newSendWindow(now, defaultWindow), log: agecheck.Logger(t)}
	o.roomShortAt = now
	o.hedge.noteAnswer(now, 2*time.Millisecond)
	handle := func(lag time.Duration) {
		for range 200 {
			o.now = o.now.Add(time.Millisecond)
			o.noteLag(o.now.Add(-lag))
		}
	}
	expect := func(batch, hedge time.Duration) {
		delay, useful := o.hedge.current()
		g.Expect(useful).To(BeTrue())
		g.Expect(delay).To(Equal(hedge))
		g.Expect(o.endBatchDelay(&worker{})).To(Equal(batch))
	}
	handle(100 * time.Microsecond)
	expect(fullPoolBatchDelay, minHedgeDelay)
	handle(8 * time.Millisecond)
	expect(endBatchDelay, maxHedgeDelay)
	g.Expect(o.window.short(o.now)).To(BeFalse())
	handle(100 * time.Microsecond)
	o.roomShortAt = o.now
	expect(fullPoolBatchDelay, minHedgeDelay)
}
