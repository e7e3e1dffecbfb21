// Package member implements the membership of daemons: which ones are live,
// which one owns each pool, and how to reach them. It decides when this daemon
// should take over a pool.
//
// A takeover is always safe, because workers and the ledger reject a former
// owner by its fencing token. A late or an unnecessary takeover only costs
// time.
package member
