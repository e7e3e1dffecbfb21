// Package member knows the other daemons: which live, which owns which pool,
// and how to reach them. It decides when this daemon is to take a pool over.
//
// Taking a pool over is always safe, as workers and ledger refuse a former
// owner; being slow or hasty about it only costs time.
package member
