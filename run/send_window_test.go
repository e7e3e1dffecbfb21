package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// initialWindowCases are daemons and the bounds of their initial window. It holds no more than the
// link carries in 0.2 s, which is 50 kB at 2 Mbit/s.
var initialWindowCases = map[string]struct {
	cores       tw.Cores
	link        tw.BytesPerSecond
	least, most int
}{
	"nothing known":            {least: defaultWindow, most: defaultWindow},
	"a narrow link":            {cores: 0.8, link: 250_000, least: 20, most: 50_000 / typicalOrderBytes},
	"few processor cores":      {cores: 0.12, link: 125e6, least: 20, most: 60},
	"a large daemon":           {cores: 0.8, link: 25e6, least: 200, most: 400},
	"only the link known":      {link: 1.25e6, least: 150, most: 250_000 / typicalOrderBytes},
	"almost no processor time": {cores: 0.001, least: minWindow, most: minWindow},
}

func TestInitialWindow(t *testing.T) {
	for name, c := range initialWindowCases {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(initialWindow(c.cores, c.link)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)))
		})
	}
}

// windowCases are answers to a full window and what it becomes.
var windowCases = map[string]struct {
	// late is how many of each ten answers are late.
	late int
	want func(before, after int) bool
}{
	"prompt answers widen it":            {late: 0, want: func(before, after int) bool { return after > before }},
	"one slow worker does not change it": {late: 2, want: func(before, after int) bool { return after == before }},
	"late answers narrow it":             {late: 9, want: func(before, after int) bool { return after < before }},
	"late answers leave some of it open": {late: 10, want: func(_, after int) bool { return after >= minWindow }},
}

// fillWindow adds as many starts as the window allows.
func fillWindow(w *sendWindow, now time.Time) []*pendingStart {
	var sent []*pendingStart
	for w.available(now) > 0 {
		sent = append(sent, w.addStart(now))
	}
	return sent
}

func TestSendWindow(t *testing.T) {
	for name, c := range windowCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Now()
			w := newSendWindow(now, defaultWindow)
			for range 20 {
				sent := fillWindow(w, now)
				w.noteLimited(now)
				for i, p := range sent {
					took := targetStartLatency / 10
					if i%10 < c.late {
						took = 2 * targetStartLatency
					}
					w.noteAnswer(p.placedAt.Add(took), p, took)
				}
				now = now.Add(targetStartLatency)
			}
			g.Expect(c.want(defaultWindow, w.limit)).To(BeTrue(), "the limit is %d", w.limit)
			g.Expect(w.outstanding).To(BeZero())
		})
	}
}

// TestStuckStartsDoNotFillTheWindow checks that starts delayed by their worker no longer count,
// and are not released a second time when they are answered after all.
func TestStuckStartsDoNotFillTheWindow(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	w := newSendWindow(now, 10)
	var stuck []*pendingStart
	for range 10 {
		stuck = append(stuck, w.addStart(now))
	}
	g.Expect(w.available(now)).To(BeZero())
	now = now.Add(stuckStartAge + time.Millisecond)
	g.Expect(w.available(now)).To(Equal(10))
	for _, p := range stuck {
		w.release(p)
	}
	g.Expect(w.available(now)).To(Equal(10))
}

// TestUnansweredStartsNarrowTheWindow checks that unanswered starts reduce the window, and that it
// is not enlarged again as long as they continue. Unless a single worker is silent, they mean that
// too many starts are sent.
func TestUnansweredStartsNarrowTheWindow(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	w := newSendWindow(now, defaultWindow)
	for range 10 {
		sent := fillWindow(w, now)
		now = now.Add(windowResetAfter + time.Millisecond)
		for _, p := range sent {
			w.noteTimeout(now, p)
		}
	}
	g.Expect(w.limit).To(Equal(minWindow))
	now = now.Add(windowResetAfter + time.Millisecond)
	g.Expect(w.available(now)).To(Equal(defaultWindow))
}
