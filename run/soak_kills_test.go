package run_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	// killSeeds is the number of seeds of TestKilledOwnersSoak and TestKilledOwnersCrashSoak.
	killSeeds = 40
	// maxKillsInARow is more than the starts after which a subtask may be given up.
	maxKillsInARow = 8
	// maxKillDelay is how long a kill waits for its point.
	maxKillDelay = 300 * time.Millisecond
)

// TestKilledOwnersSoak is TestSoak with owners that are killed as processes are. An owner counted a
// start as a crash before it ordered it, and work was given up after several owners that were killed
// before the order.
func TestKilledOwnersSoak(t *testing.T) {
	t.Parallel()
	for seed := range uint64(killSeeds) {
		runSoak(t, seed, withKilledOwners)
	}
	for _, seed := range []uint64{6, 14, 57, 75, 93, 100, 150, 176, 179, 196, 244, 270} { // these gave work up or lost a cancel
		runSoak(t, seed, withKilledOwners)
	}
}

// TestKilledOwnersCrashSoak is TestCrashSoak with owners that are killed as processes are.
func TestKilledOwnersCrashSoak(t *testing.T) {
	t.Parallel()
	for seed := range uint64(killSeeds) {
		runSoak(t, seed, withPoisonedSubtasks, withKilledOwners)
	}
}

// withKilledOwners kills owners as processes are killed: in the middle of a call, often one after
// the other.
func withKilledOwners(s *soak) { s.killing, s.actions = true, 90 }

// newKillableOwner makes a daemon the owner, half of the time while the store is slow, and has it read
// the inbox as a daemon does after a takeover.
func (s *soak) newKillableOwner(daemon tw.DaemonID) *run.Owner {
	s.setFaults(standin.KVFaults{})
	s.process = newProcess(s.rig, nowhere, false)
	if s.rand.IntN(2) == 0 {
		s.setFaults(standin.KVFaults{Slow: time.Duration(s.rand.IntN(200)) * time.Millisecond})
		s.process.delays = rand.New(rand.NewPCG(s.rand.Uint64(), 2))
	}
	o := s.newOwnerWith(daemon, s.process, s.process)
	items, _, err := s.kv.Range(s.ctx, ledger.InboxPrefix(pool))
	s.Expect(err).NotTo(HaveOccurred())
	for _, item := range items {
		message, err := ledger.DecodeInbox(item)
		s.Expect(err).NotTo(HaveOccurred())
		o.HandleInbox(s.ctx, message)
	}
	return o
}

// killOwner kills the owner at a random point of its next start, or after a while if it makes none.
func (s *soak) killOwner() {
	end := endPoint(s.rand.IntN(int(nowhere) + 1))
	s.process.end.Store(int32(end))
	if end == messageRemoved {
		s.cancelAny()
	}
	select {
	case <-s.process.reached:
	case <-time.After(maxKillDelay):
	}
	s.process.kill()
	s.owner.Close()
	s.fleet.NoteDisturbance()
	s.owner = s.newOwner(tw.DaemonID(fmt.Sprintf("d%d", len(s.opened))))
}
