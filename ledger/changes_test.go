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

// TestProgressOfLargestSubmissionFits guards against an owner that can't write any more: the progress of an
// accepted submission becomes larger than the store takes, and the write is repeated for ever.
func TestProgressOfLargestSubmissionFits(t *testing.T) {
	g := NewWithT(t)
	const valueBytes = 1 << 20 // the store's limit
	const steps = tw.MaxSubtasks / tw.MaxStepCount
	var p ledger.Progress
	for i := range steps {
		step := p.Step(0, i)
		step.Checkpoints, step.Failures, step.UncountedStarts = map[int]tw.Checkpoint{}, map[int][]tw.RunNumber{}, map[int]bool{}
		for n := range tw.MaxStepCount {
			step.Checkpoints[n], step.Failures[n], step.UncountedStarts[n] = "00000bb87a21d94b", []tw.RunNumber{20_000_001, 20_000_002}, true
		}
	}
	g.Expect(len(ledger.SaveProgress("p", "00000000000000aa", &p).Puts[0].Value)).To(BeNumerically("<=", valueBytes))
}
