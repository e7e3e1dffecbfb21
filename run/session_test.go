package run

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// sendCases are orders and whether a session sends them.
var sendCases = map[string]struct {
	stale  bool // the order is outdated
	silent bool // the worker did not answer the last order
	late   bool // the owner's permit has run out
	sent   bool
}{
	"a fresh order":                     {sent: true},
	"an outdated order":                 {stale: true},
	"a start to a silent worker":        {silent: true},
	"an order of an owner without word": {late: true},
}

func TestSessionSend(t *testing.T) {
	for name, c := range sendCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := &permit{}
			if !c.late {
				p.extend(time.Now().Add(time.Hour))
			}
			s := &session{clock: tw.SystemClock{}, permit: p, patience: &patience{}}
			s.silent.Store(c.silent)
			sent := false
			_, err := s.send(t.Context(), workOrder{
				stale: func(time.Time) bool { return c.stale },
				send: func(context.Context) (tw.WorkerClock, error) {
					sent = true
					return 1, nil
				},
			})
			g.Expect(sent).To(Equal(c.sent))
			if !c.sent {
				g.Expect(err).To(MatchError(errNotSent))
			}
		})
	}
}
