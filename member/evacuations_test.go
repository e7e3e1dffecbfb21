package member_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/membertest"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// evacuationSources answer for daemons by address; daemons without an entry do not answer.
type evacuationSources map[string]*member.EvacuationsResponse

// Evacuations implements member.EvacuationSource.
func (s evacuationSources) Evacuations(ctx context.Context, address string) (*member.EvacuationsResponse, error) {
	if resp := s[address]; resp != nil {
		return resp, nil
	}
	<-ctx.Done()
	return nil, tw.ErrAmbiguous
}

var (
	hallA    = &tw.Evacuations{Revision: 7, Halls: []tw.HallID{"a"}}
	noHall   = &tw.Evacuations{Revision: 5}
	liveAB   = []member.DaemonRecord{{Daemon: "a", Address: "a:1"}, {Daemon: "b", Address: "b:1"}}
	surveyAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// surveyCases map the answers of daemons to the survey.
var surveyCases = map[string]struct {
	sources evacuationSources
	want    member.EvacuationSurvey
}{
	"the earliest time counts": {
		sources: evacuationSources{
			"a:1": {Known: hallA, Since: map[tw.HallID]time.Time{"a": surveyAt.Add(time.Second)}},
			"b:1": {Known: hallA, Since: map[tw.HallID]time.Time{"a": surveyAt}},
		},
		want: member.EvacuationSurvey{
			Since:   map[tw.HallID]time.Time{"a": surveyAt},
			Daemons: []member.DaemonEvacuations{{Daemon: "a", Reached: true, Known: hallA}, {Daemon: "b", Reached: true, Known: hallA}},
		},
	},
	"a daemon that the store rejects is asked at the address that its peers know": {
		sources: evacuationSources{
			"a:1": {Known: hallA, Peers: []member.PeerEvacuations{{Daemon: "c", Address: "c:1", Known: noHall, Age: time.Second}}},
			"b:1": {Known: hallA},
			"c:1": {Known: hallA},
		},
		want: member.EvacuationSurvey{
			Daemons: []member.DaemonEvacuations{
				{Daemon: "a", Reached: true, Known: hallA}, {Daemon: "b", Reached: true, Known: hallA}, {Daemon: "c", Reached: true, Known: hallA},
			},
		},
	},
	"a daemon that does not answer is shown as its peers last heard of it": {
		sources: evacuationSources{
			"a:1": {Known: hallA, Peers: []member.PeerEvacuations{
				{Daemon: "b", Address: "b:1", Known: noHall, Age: 2 * time.Second},
				{Daemon: "c", Address: "c:1", Known: noHall, Age: 3 * time.Second},
			}},
		},
		want: member.EvacuationSurvey{
			Daemons: []member.DaemonEvacuations{
				{Daemon: "a", Reached: true, Known: hallA}, {Daemon: "b", Known: noHall, Age: 2 * time.Second}, {Daemon: "c", Known: noHall, Age: 3 * time.Second},
			},
		},
	},
	"of what several peers heard the most recent counts": {
		sources: evacuationSources{
			"a:1": {Known: hallA, Peers: []member.PeerEvacuations{{Daemon: "c", Address: "c:1", Known: noHall, Age: 3 * time.Second}}},
			"b:1": {Known: hallA, Peers: []member.PeerEvacuations{{Daemon: "c", Address: "c:1", Known: hallA, Age: time.Second}}},
		},
		want: member.EvacuationSurvey{
			Daemons: []member.DaemonEvacuations{
				{Daemon: "a", Reached: true, Known: hallA}, {Daemon: "b", Reached: true, Known: hallA}, {Daemon: "c", Known: hallA, Age: time.Second},
			},
		},
	},
	"a replaced owner that has not noticed it yet": {
		sources: evacuationSources{
			"a:1": {Known: noHall, Pools: []run.EvacuationReport{{Pool: "p", Fence: 3, Revision: 5}}},
			"b:1": {Known: hallA, Pools: []run.EvacuationReport{{Pool: "p", Fence: 4, Revision: 7}, {Pool: "o", Fence: 2}}},
		},
		want: member.EvacuationSurvey{
			Daemons: []member.DaemonEvacuations{{Daemon: "a", Reached: true, Known: noHall}, {Daemon: "b", Reached: true, Known: hallA}},
			Pools:   []run.EvacuationReport{{Pool: "o", Fence: 2}, {Pool: "p", Fence: 4, Revision: 7}},
		},
	},
}

func TestSurveyEvacuations(t *testing.T) {
	for name, c := range surveyCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				began := time.Now()
				got := member.SurveyEvacuations(t.Context(), c.sources, liveAB)
				g.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))
				g.Expect(got.Daemons).To(Equal(c.want.Daemons))
				g.Expect(got.Pools).To(Equal(c.want.Pools))
				if c.want.Since != nil {
					g.Expect(got.Since).To(Equal(c.want.Since))
				}
			})
		})
	}
}

// A record that others have written must not keep an operator from seeing the other daemons.
func TestReadDaemonsWithAnUnreadableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		for _, record := range liveAB {
			membertest.Announce(kv, record)
		}
		kv.Put("tw/member/live/c", []byte("?"))
		g.Expect(member.ReadDaemons(t.Context(), kv)).To(Equal(liveAB))
	})
}

// A peer that is pinged and never pings itself is heard by its answers.
func TestPeerEvacuationsFromAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		membertest.Announce(kv, liveAB[1])
		peers := &membertest.Peers{Answer: member.PingResponse{Daemon: "b", Evacuations: hallA}}
		members, end := membertest.StartWithPeers(t, kv, member.DaemonRecord{Daemon: "self", Address: "self:1"}, peers)
		defer end()
		time.Sleep(2 * time.Second)
		g.Expect(members.PeerEvacuations()).To(ContainElement(And(HaveField("Daemon", tw.DaemonID("b")), HaveField("Known", hallA))))
	})
}

// What a daemon heard of a peer that was cut off since must stay known, with its age.
func TestPeerEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		kv := standin.KVConfig{Latency: time.Millisecond}.New()
		for _, record := range liveAB {
			membertest.Announce(kv, record)
		}
		members, end := membertest.Start(t, kv, member.DaemonRecord{Daemon: "self", Address: "self:1"})
		defer end()
		time.Sleep(time.Second)
		members.HandlePing(&member.PingRequest{From: "b", Evacuations: noHall})
		members.HandlePing(&member.PingRequest{From: "stranger", Evacuations: hallA})
		time.Sleep(100 * time.Millisecond)
		members.HandlePing(&member.PingRequest{From: "b", Evacuations: hallA})
		kv.Remove("tw/member/live/b")
		time.Sleep(2 * time.Second)
		g.Expect(members.PeerEvacuations()).To(ContainElement(
			member.PeerEvacuations{Daemon: "b", Address: "b:1", Known: hallA, Age: 2 * time.Second}))
		g.Expect(members.PeerEvacuations()).NotTo(ContainElement(HaveField("Daemon", tw.DaemonID("stranger"))))
	})
}
