package run_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// silentAdvisor is an advice service whose connection goes silent as the first request comes.
type silentAdvisor struct{ calls atomic.Int64 }

const (
	// adviceTimeout is the answer timeout of the platform's client.
	adviceTimeout = 5 * time.Second
	// adviceBound is the time within which work must begin for which there is room.
	adviceBound = 3 * time.Second
)

// Advise implements tw.Advisor.
func (a *silentAdvisor) Advise(ctx context.Context, _ tw.SubtaskID, workers []tw.WorkerID) (tw.Advice, error) {
	if a.calls.Add(1) == 1 {
		ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
		defer cancel()
		<-ctx.Done()
		return tw.Advice{}, tw.ErrAmbiguous
	}
	advice := tw.Advice{Tickets: map[tw.WorkerID]string{}, Valid: 10 * time.Second}
	for _, id := range workers {
		advice.Tickets[id] = "t"
	}
	return advice, nil
}

// TestAdviceOnSilentConnection guards against work that does not begin for as long as a call for advice may
// take at most, although the service would have answered in milliseconds.
func TestAdviceOnSilentConnection(t *testing.T) {
	runCase(t, "one call", 4, func(r *rig) {
		r.advisor = &silentAdvisor{}
		o := r.newOwner("a")
		time.Sleep(time.Second)
		s := submission("s1", 2)
		s.Policy.Advice = tw.AdvicePolicy{Decide: 20 * time.Millisecond, Each: 1500 * time.Microsecond, Valid: 10 * time.Second}
		r.submit(o, s)
		r.Eventually(r.fleet.Starts, adviceBound).Should(Equal(2))
		r.eventually(o, "s1", tw.SubmissionSucceeded, 5*time.Second)
	})
}
