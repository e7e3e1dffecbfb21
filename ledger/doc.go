// Package ledger keeps what must survive the loss of every daemon: accepted
// submissions and their progress, in the platform's metadata store.
//
// Each pool has one head record. Every write of the pool's owner is a
// transaction that demands the head's last revision and writes the head anew,
// so writes form a chain: a deposed owner's writes fail, and a write that the
// store carries out late fails too once another one has followed it.
package ledger
