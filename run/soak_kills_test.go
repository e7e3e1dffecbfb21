package run_test

import (
	"fmt"
	"testing"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
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
	for _, seed := range []uint64{57, 75, 176} { // these gave work up
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

// killOwner kills the owner at a random point of its next start, or after a while if it makes none.
func (s *soak) killOwner() {
	s.process.end.Store(int32(s.rand.IntN(int(nowhere) + 1)))
	select {
	case <-s.process.reached:
	case <-time.After(maxKillDelay):
	}
	s.process.kill()
	s.owner.Close()
	s.owner = s.newOwner(tw.DaemonID(fmt.Sprintf("d%d", len(s.opened))))
}
