package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// silenceCases are the open polls of a worker, and whether its silence needs no explanation, so that the
// next poll extends the time of its runs.
var silenceCases = map[string]struct {
	open []openPoll
	want bool
}{
	"no open poll":               {want: true},
	"a poll without a wait":      {open: []openPoll{{}}},
	"a poll that waits":          {open: []openPoll{{wait: time.Second}}, want: true},
	"several polls that wait":    {open: []openPoll{{wait: time.Second}, {wait: 2 * time.Second}}, want: true},
	"a poll whose wait is over":  {open: []openPoll{{wait: 300 * time.Millisecond}}},
	"one that waits, one is due": {open: []openPoll{{wait: time.Second}, {}}},
	"a poll that was lost":       {open: []openPoll{{lost: true}}, want: true},
}

// TestSilenceExplained guards against polls that do not extend the time of runs beside one that waits at
// the worker: runs lapsed on a worker that was asked again and again, and answered.
func TestSilenceExplained(t *testing.T) {
	for name, c := range silenceCases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := &worker{}
			for _, p := range c.open {
				p.sentAt = now.Add(-300 * time.Millisecond)
				w.openPolls = append(w.openPolls, p)
			}
			NewWithT(t).Expect((&Owner{now: now}).silenceExplained(w)).To(Equal(c.want))
		})
	}
}
