package queue

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// noOwners implements Pools for a daemon that owns no pool.
type noOwners struct{}

func (noOwners) Local(tw.PoolID) *run.Owner { return nil }

// newTestRouter returns the router of a daemon that knows no pool owner.
func newTestRouter() (r *Router, end func()) {
	kv := standin.KVConfig{Latency: time.Millisecond}.New()
	members, end := membertest.Start(kv, member.DaemonRecord{Daemon: "a", Incarnation: 1, Address: "a:1"})
	r = RouterConfig{Pools: noOwners{}, Members: members, KV: kv, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
	return r, end
}

// countCases are ages of the cached count, and whether it is still returned.
var countCases = map[string]struct {
	age      time.Duration
	returned bool
}{
	"a fresh count": {age: time.Second, returned: true},
	"an old count":  {age: 3 * time.Second},
	"no count":      {age: -1},
}

func TestWaitingIsNotTooOld(t *testing.T) {
	for name, c := range countCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, end := newTestRouter()
				defer end()
				if c.age >= 0 {
					r.counts["quick"] = waitingCount{count: 7, at: time.Now().Add(-c.age)}
				}
				count, err := r.Waiting(t.Context(), "p", "quick")
				if c.returned {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(count).To(Equal(7))
					return
				}
				g.Expect(err).To(MatchError(run.ErrNotOwner))
			})
		})
	}
}
