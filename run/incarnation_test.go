package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAckableEnd checks that no end is acknowledged to a worker while its next incarnation, which
// numbers its ends from one, may be the one that is reached.
func TestAckableEnd(t *testing.T) {
	cases := map[string]struct {
		sameID     bool
		unanswered int
		open       int // polls
		answerAge  time.Duration
		acked      int64
		want       int64
	}{
		"all answered":                       {want: 7},
		"all answered, keeps its ID":         {sameID: true, want: 7},
		"a call is unanswered":               {unanswered: 1, want: 7},
		"a call is unanswered, keeps its ID": {sameID: true, unanswered: 1},
		"another poll is open":               {open: 1, want: 7},
		"another poll is open, keeps its ID": {sameID: true, open: 1},
		"answered long ago":                  {answerAge: time.Second, want: 7},
		"answered long ago, keeps its ID":    {sameID: true, answerAge: time.Second},
		"acknowledged":                       {acked: 7, want: 7},
		"acknowledged, keeps its ID":         {sameID: true, acked: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := &worker{
				recordedEnd: 7, ackedEnd: c.acked, unanswered: c.unanswered, openPolls: make([]openPoll, c.open), polledAt: now.Add(-c.answerAge),
			}
			if c.sameID {
				w.startTime = 1
			}
			NewWithT(t).Expect(w.ackableEnd(now)).To(Equal(c.want))
		})
	}
}
