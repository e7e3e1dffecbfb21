package ledger_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// TestLargestSubmissionCanBeCancelled checks that a cancel can be confirmed in the record of the largest
// submission that is accepted.
func TestLargestSubmissionCanBeCancelled(t *testing.T) {
	g := NewWithT(t)
	const valueBytes = 1 << 20 // the store's limit
	s := tw.Submission{ID: "00000000000000aa", Organisation: "red", Policy: tw.RoutePolicy{Pool: "p"}, Steps: []tw.Step{{Count: 1}}}
	for n := valueBytes; s.Steps[0].Label == "" || !ledger.Fits(&s); n -= 50 {
		s.Steps[0].Label = strings.Repeat("l", n)
	}
	record := ledger.Record{Pool: "p", Submission: &s, Organisation: "red"}
	for _, put := range ledger.ConfirmCancel(s.ID, record).Puts {
		g.Expect(len(put.Value)).To(BeNumerically("<=", valueBytes))
	}
	g.Expect(len(s.Steps[0].Label)).To(BeNumerically(">", valueBytes*9/10))
}
