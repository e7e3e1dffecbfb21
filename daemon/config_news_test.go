package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// news is that a peer knows of a version, at a moment, and whether it is read there.
type news struct {
	at           time.Duration
	have, newer  tw.Version
	storeAnswers bool
	reading      bool // the last read has not ended
	read         bool
}

// newsCases are what peers tell of versions, in order.
var newsCases = map[string][]news{
	"an older version":         {{have: 5, newer: 5}, {have: 5, newer: 4}},
	"the store does not serve": {{have: 5, newer: 6, read: true}},
	"the store is left the time to bring it": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 300 * time.Millisecond, have: 5, newer: 6, storeAnswers: true},
		{at: 500 * time.Millisecond, have: 5, newer: 6, storeAnswers: true, read: true},
	},
	"versions in quick succession that the store does not bring": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 100 * time.Millisecond, have: 5, newer: 7, storeAnswers: true},
		{at: 450 * time.Millisecond, have: 5, newer: 9, storeAnswers: true, read: true},
	},
	"versions in quick succession that the store brings": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 300 * time.Millisecond, have: 6, newer: 7, storeAnswers: true},
		{at: 600 * time.Millisecond, have: 7, newer: 8, storeAnswers: true},
	},
	"one read at a time": {{have: 5, newer: 6, read: true}, {have: 5, newer: 6, reading: true}},
	"the store falls silent": {
		{have: 5, newer: 6, storeAnswers: true}, {at: 10 * time.Millisecond, have: 5, newer: 6, read: true},
	},
}

func TestConfigNews(t *testing.T) {
	for name, told := range newsCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var n configFetchGate
			for i, c := range told {
				if !c.reading {
					n.end()
				}
				now := time.Unix(1, 0).Add(c.at)
				g.Expect(n.begin(c.have, c.newer, c.storeAnswers, now)).To(Equal(c.read), "news %d", i)
			}
		})
	}
}
