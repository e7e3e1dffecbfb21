// Package run implements the owner of a pool: it accepts submissions, starts their subtasks
// on the pool's workers, tracks the runs until they end, and records progress in the ledger.
//
// One goroutine, the loop, holds all state of a pool. Each worker has a session that sends it
// orders, and a writer writes to the ledger. Both report to the loop through its event channel.
package run
