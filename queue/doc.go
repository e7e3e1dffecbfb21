// Package queue accepts submissions from callers at any daemon and reports
// their states. It forwards requests to the owner of the pool, and uses the
// store directly when the owner cannot be reached.
package queue
