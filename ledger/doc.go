// Package ledger stores the state that must survive the loss of all daemons, such
// as accepted submissions and their progress, in the platform's metadata store.
//
// Each pool has one head record. Each write of the pool's owner, except those of
// Book.WriteConcurrent, is a transaction that is conditional on the last revision
// of the head and rewrites it. These writes therefore form a chain: writes of a
// previous owner fail, and so does a delayed write that the store applies after a
// later one.
package ledger
