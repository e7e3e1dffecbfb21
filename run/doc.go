// Package run is what a daemon does as the owner of a pool: it takes
// submissions, starts their subtasks on the pool's workers, follows them to
// their ends, and records progress in the ledger.
//
// One goroutine, the loop, holds all state of a pool. Sessions talk to one
// worker each, a writer talks to the ledger; both report to the loop by its
// event channel.
package run
