package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
)

func addUnreachableDaemon(body json.RawMessage) (any, error) {
	var roster tw.Roster
	if err := json.Unmarshal(body, &roster); err != nil {
		return nil, err
	}
	return roster.With(tw.RosterMember{ID: "ghost", Instance: "ghost", Incarnation: 1, Address: "nowhere"}), nil
}

var _ = Describe("local state", func() {
	It("never accepts an older revision", func() {
		s := newLocalState()
		for _, step := range []struct {
			revision tw.Revision
			accepted bool
		}{{3, true}, {2, false}, {3, false}, {5, true}, {4, false}} {
			accepted, err := s.updateConfig(acceptedConfigJSON(step.revision))
			Expect(err).NotTo(HaveOccurred())
			Expect(accepted).To(Equal(step.accepted), "revision %d", step.revision)
		}
		Expect(s.currentRevision()).To(Equal(tw.Revision(5)))
	})

	It("does not count as registered before the plan was read after registering", func() {
		s := newLocalState()
		s.markPlanFresh()
		s.setRegistered(true)
		view := s.view()
		Expect(view.Registered).To(BeFalse())
		s.markPlanFresh()
		view = s.view()
		Expect(view.Registered).To(BeTrue())
	})
})

var _ = Describe("the member table", func() {
	type row struct {
		first, second tw.Member
		direct        bool
		want          tw.Member
	}
	report := func(acked tw.Generation) *tw.Report { return &tw.Report{Acked: acked} }
	rows := map[string]row{
		"a later beat is accepted": {
			first: tw.Member{Incarnation: 1, Beat: 1, Report: report(1)}, second: tw.Member{Incarnation: 1, Beat: 2, Report: report(2)},
			direct: true, want: tw.Member{Incarnation: 1, Beat: 2, Report: report(2)},
		},
		"a beat without a report keeps the last report": {
			first: tw.Member{Incarnation: 1, Beat: 1, Report: report(1)}, second: tw.Member{Incarnation: 1, Beat: 2},
			direct: true, want: tw.Member{Incarnation: 1, Beat: 2, Report: report(1)},
		},
		"an earlier beat is ignored": {
			first: tw.Member{Incarnation: 1, Beat: 2, Report: report(2)}, second: tw.Member{Incarnation: 1, Beat: 1, Report: report(9)},
			direct: true, want: tw.Member{Incarnation: 1, Beat: 2, Report: report(2)},
		},
		"an earlier incarnation is ignored": {
			first: tw.Member{Incarnation: 2, Beat: 1}, second: tw.Member{Incarnation: 1, Beat: 9, Report: report(9)},
			direct: true, want: tw.Member{Incarnation: 2, Beat: 1},
		},
		"a new incarnation starts without a report": {
			first: tw.Member{Incarnation: 1, Beat: 9, Report: report(9)}, second: tw.Member{Incarnation: 2, Beat: 1},
			direct: true, want: tw.Member{Incarnation: 2, Beat: 1},
		},
		"a report in gossip is ignored": {
			first: tw.Member{Incarnation: 1, Beat: 1, Report: report(1)}, second: tw.Member{Incarnation: 1, Beat: 2, Report: report(9)},
			want: tw.Member{Incarnation: 1, Beat: 2, Report: report(1)},
		},
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		It(name, func() {
			t := newMemberTable(fakeclock.New(), "", time.Second)
			t.update(rows[name].first, true)
			t.update(rows[name].second, rows[name].direct)
			got, ok := t.get("", rows[name].want.Incarnation)
			Expect(ok).To(BeTrue())
			Expect(got.Member).To(Equal(rows[name].want))
		})
	}

	It("accepts a lower incarnation once the higher one is down", func() {
		clock := fakeclock.New()
		t := newMemberTable(clock, "", time.Second)
		all := func(tw.Member) bool { return true }
		t.update(tw.Member{ID: "a", Incarnation: 9, Beat: 1}, true)
		later := tw.Member{ID: "a", Incarnation: 8, Beat: 1} // its clock went back while it was down
		t.update(later, true)
		Expect(t.live(all)[0].Incarnation).To(Equal(tw.Incarnation(9)))
		clock.Advance(2 * time.Second)
		t.update(later, false)
		Expect(t.live(all)).To(BeEmpty(), "gossip may be about an earlier incarnation")
		t.update(later, true)
		Expect(t.live(all)).To(HaveLen(1))
		Expect(t.live(all)[0].Incarnation).To(Equal(tw.Incarnation(8)))
	})

	// Guards against gossip about the former incarnation being accepted as new again and
	// again, so that the two tables never agree.
	It("agrees with another table on a lower incarnation", func() {
		clock := fakeclock.New()
		all := func(tw.Member) bool { return true }
		one, two := newMemberTable(clock, "", time.Second), newMemberTable(clock, "", time.Second)
		former := tw.Member{ID: "a", Incarnation: 9, Beat: 1}
		one.update(former, true)
		clock.Advance(500 * time.Millisecond)
		two.update(former, true)
		beat := uint64(0)
		exchange := func() {
			clock.Advance(100 * time.Millisecond)
			beat++
			one.update(tw.Member{ID: "a", Incarnation: 8, Beat: beat}, true)
			two.update(tw.Member{ID: "a", Incarnation: 8, Beat: beat}, true)
			for _, m := range one.mostRecent(1, all) {
				two.update(m, false)
			}
			for _, m := range two.mostRecent(1, all) {
				one.update(m, false)
			}
		}
		for range 50 {
			exchange()
		}
		for range 50 {
			exchange()
			Expect(one.live(all)).To(ConsistOf(HaveField("Incarnation", tw.Incarnation(8))))
			Expect(two.live(all)).To(ConsistOf(HaveField("Incarnation", tw.Incarnation(8))))
		}
	})

	It("counts a silent daemon as down", func() {
		clock := fakeclock.New()
		t := newMemberTable(clock, "", time.Second)
		t.update(tw.Member{ID: "a", Incarnation: 1, Beat: 1}, true)
		all := func(tw.Member) bool { return true }
		Expect(t.live(all)).To(HaveLen(1))
		clock.Advance(2 * time.Second)
		t.update(tw.Member{ID: "a", Incarnation: 1, Beat: 1}, false) // the same beat again, by gossip
		Expect(t.live(all)).To(BeEmpty())
	})
})

var _ = Describe("an entry instance", func() {
	entry := tw.Instance{ID: "e1", Role: tw.RoleEntry}
	other := tw.Instance{ID: "e2", Role: tw.RoleEntry}
	worker := tw.Instance{ID: "w1", Role: tw.RoleWorker}
	type row struct {
		list   []tw.Instance
		absent bool
	}
	rows := map[string]row{
		"is not absent while it is listed":                    {list: []tw.Instance{entry, other}},
		"is absent once it has been unlisted for the timeout": {list: []tw.Instance{other, worker}, absent: true},
		"is not absent if the list has no entry instances":    {list: []tw.Instance{worker}},
		"is not absent if the list is empty":                  {},
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		It(name, func() {
			clock := fakeclock.New()
			a := newAbsenceTracker(clock)
			list := tw.InstanceSnapshot{Instances: rows[name].list}
			daemon := tw.RosterMember{ID: "d1", Instance: "e1", Incarnation: 1}
			absent := func() bool {
				a.observeList(list)
				return a.absentTooLong(daemon, list)
			}
			Expect(absent()).To(BeFalse())
			clock.Advance(absenceTimeout - time.Second)
			Expect(absent()).To(BeFalse())
			clock.Advance(time.Second)
			Expect(absent()).To(Equal(rows[name].absent))
		})
	}
})

// peerImplementations has functions that create an implementation of tw.Peers which
// reaches the handler at the returned address.
var peerImplementations = map[string]func(h tw.PeerHandler) (tw.Peers, string){
	"in memory": func(h tw.PeerHandler) (tw.Peers, string) {
		n := newNetwork()
		n.setHandler("peer", h)
		return n, "peer"
	},
	"over connect-go": func(h tw.PeerHandler) (tw.Peers, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: NewPeerServer(h), Protocols: ServerProtocols()}
		go func() { _ = server.Serve(listener) }() // returns on Close
		DeferCleanup(server.Close)
		client := PeerClientConfig{}.New()
		DeferCleanup(client.Close)
		return client, listener.Addr().String()
	},
}

// echo responds with the content of the request.
type echo struct{}

func (echo) HandleSync(req tw.SyncRequest) tw.SyncResponse {
	return tw.SyncResponse{Self: req.Self, Others: req.Others, Config: []byte("config"), Plan: []byte("plan")}
}

func (echo) HandleClaim(c tw.Claim) tw.Claim { return c }

var _ = Describe("peers", func() {
	member := tw.Member{
		ID: "d1", Hall: "h1", Instance: "i1", Incarnation: 1 << 62, Beat: 7, Address: "a", Gateway: "g",
		Revision: 3, Demand: 5, Planning: true, Jobs: []tw.JobID{"j"},
		Report: &tw.Report{Acked: 4, Loads: []tw.Load{{Instance: "w", Job: "j", InFlight: 1, OK: 2, Failed: 3}}},
	}
	for _, name := range slices.Sorted(maps.Keys(peerImplementations)) {
		It(name+": transfers all fields in both directions", func() {
			peers, address := peerImplementations[name](echo{})
			got, err := peers.Sync(GinkgoT().Context(), address, tw.SyncRequest{Self: member, Others: []tw.Member{member}, Generation: 9})
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Self).To(Equal(member))
			Expect(got.Others).To(Equal([]tw.Member{member}))
			Expect(string(got.Config)).To(Equal("config"))
			claim := tw.Claim{Scope: "s", Body: "b", Holder: "d", Nonce: "n", State: tw.ClaimPending}
			echoed, err := peers.Claim(GinkgoT().Context(), address, claim)
			Expect(err).NotTo(HaveOccurred())
			Expect(echoed).To(Equal(claim))
		})

		It(name+": reports that nothing listens at an address", func() {
			peers, _ := peerImplementations[name](echo{})
			_, err := peers.Sync(GinkgoT().Context(), "127.0.0.1:1", tw.SyncRequest{})
			Expect(err).To(MatchError(tw.ErrNotListening))
			_, err = peers.Claim(GinkgoT().Context(), "127.0.0.1:1", tw.Claim{})
			Expect(err).To(MatchError(tw.ErrNotListening))
		})
	}
})

var _ = Describe("idempotency keys", func() {
	// newClaims creates the claims of n daemons that know each other.
	newClaims := func(n int) (*network, []*claims) {
		network := newNetwork()
		var members []tw.Member
		var all []*claims
		for i := range n {
			id := fmt.Sprintf("d%d", i)
			members = append(members, tw.Member{ID: tw.DaemonID(id), Address: id})
		}
		for _, m := range members {
			c := &claims{
				table:      newClaimTable(fakeclock.New(), time.Minute, 100),
				peers:      network,
				self:       m.ID,
				candidates: func() []tw.Member { return members },
				metrics:    metrics.NewSet(),
			}
			network.setHandler(m.Address, claimsOnly{c})
			all = append(all, c)
		}
		return network, all
	}

	for _, n := range []int{2, 3, 7} {
		It(fmt.Sprintf("are granted once among %d daemons, also when the first is lost", n), func() {
			network, all := newClaims(n)
			for k := range 50 {
				scope := fmt.Sprint("key", k)
				holder := k % n
				_, first := all[holder].Claim(GinkgoT().Context(), scope, "body")
				Expect(first.Granted).To(BeTrue())
				network.setIsolated(fmt.Sprintf("d%d", holder), true)
				for i, c := range all {
					if i != holder {
						_, again := c.Claim(GinkgoT().Context(), scope, "body")
						Expect(again.Granted).To(BeFalse(), "%s at d%d", scope, i)
					}
				}
				network.setIsolated(fmt.Sprintf("d%d", holder), false)
			}
		})
	}

	It("can be claimed again once released", func() {
		_, all := newClaims(3)
		claim, first := all[0].Claim(GinkgoT().Context(), "key", "body")
		Expect(first.Granted).To(BeTrue())
		all[0].Settle(claim, tw.ClaimReleased)
		Eventually(func() bool {
			again, result := all[1].Claim(GinkgoT().Context(), "key", "body")
			if result.Granted {
				all[1].Settle(again, tw.ClaimReleased)
			}
			return result.Granted
		}, eventualTimeout).Should(BeTrue())
	})

	It("are not granted if no other daemon can store the claim", func() {
		network, all := newClaims(2)
		network.setIsolated("d1", true)
		_, result := all[0].Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeFalse())
		Expect(result.Existing.Holder).To(BeEmpty())
	})

	It("are granted by one daemon alone when the other's process is gone", func() {
		network, all := newClaims(2)
		network.setHandler("d1", nil)
		_, result := all[0].Claim(GinkgoT().Context(), "key", "body")
		Expect(result.Granted).To(BeTrue())
	})

	It("are granted to at most one of several concurrent claims", func() {
		_, all := newClaims(3)
		for k := range 50 {
			results := make(chan bool, len(all))
			for _, c := range all {
				go func() {
					_, r := c.Claim(GinkgoT().Context(), fmt.Sprint("key", k), "body")
					results <- r.Granted
				}()
			}
			granted := 0
			for range all {
				if <-results {
					granted++
				}
			}
			Expect(granted).To(BeNumerically("<=", 1))
		}
	})

	It("expire after their lifetime, and are limited in number", func() {
		clock := fakeclock.New()
		t := newClaimTable(clock, time.Minute, 2)
		one := tw.Claim{Scope: "1", Holder: "a", Nonce: "n"}
		Expect(t.put(one)).To(Equal(one))
		Expect(t.put(tw.Claim{Scope: "2", Holder: "a"}).Scope).To(Equal("2"))
		Expect(t.put(tw.Claim{Scope: "3", Holder: "a"})).To(Equal(tw.Claim{}))
		Expect(t.put(tw.Claim{Scope: "1", Holder: "b"})).To(Equal(one))
		clock.Advance(time.Minute)
		Expect(t.put(tw.Claim{Scope: "3", Holder: "a"}).Scope).To(Equal("3"))
	})
})

// claimsOnly is a peer that handles only claims.
type claimsOnly struct{ *claims }

func (claimsOnly) HandleSync(tw.SyncRequest) tw.SyncResponse { return tw.SyncResponse{} }

func (c claimsOnly) HandleClaim(claim tw.Claim) tw.Claim { return c.table.put(claim) }
