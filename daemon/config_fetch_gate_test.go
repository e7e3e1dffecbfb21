package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// announcement is a version that a peer announces at a time, and whether it must then be read
// from that peer.
type announcement struct {
	at           time.Duration
	have, newer  tw.Version
	storeAnswers bool
	reading      bool // the previous read has not ended
	read         bool
}

// announcementCases are sequences of announcements.
var announcementCases = map[string][]announcement{
	"no newer version":          {{have: 5, newer: 5}, {have: 5, newer: 4}},
	"the store does not answer": {{have: 5, newer: 6, read: true}},
	"the store has time to deliver it": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 300 * time.Millisecond, have: 5, newer: 6, storeAnswers: true},
		{at: 500 * time.Millisecond, have: 5, newer: 6, storeAnswers: true, read: true},
	},
	"versions in quick succession that the store does not deliver": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 100 * time.Millisecond, have: 5, newer: 7, storeAnswers: true},
		{at: 450 * time.Millisecond, have: 5, newer: 9, storeAnswers: true, read: true},
	},
	"versions in quick succession that the store delivers": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 300 * time.Millisecond, have: 6, newer: 7, storeAnswers: true},
		{at: 600 * time.Millisecond, have: 7, newer: 8, storeAnswers: true},
	},
	"one read at a time": {{have: 5, newer: 6, read: true}, {have: 5, newer: 6, reading: true}},
	"the store stops answering": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 10 * time.Millisecond, have: 5, newer: 6, read: true},
	},
}

// A daemon must read a newer configuration from a peer once the store has had the time to
// deliver it, and not earlier: a large one would be transferred twice over a slow link.
func TestConfigFetchGate(t *testing.T) {
	for name, announcements := range announcementCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var gate configFetchGate
			for i, c := range announcements {
				if !c.reading {
					gate.end()
				}
				now := time.Unix(1, 0).Add(c.at)
				g.Expect(gate.begin(c.have, c.newer, c.storeAnswers, now)).To(Equal(c.read), "announcement %d", i)
			}
		})
	}
}
