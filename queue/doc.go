// Package queue takes submissions from callers at any daemon, and tells them
// what has become of them. It finds the owner of a pool, and goes to the
// store itself when the owner can't be reached.
package queue
