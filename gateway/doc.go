// Package gateway takes callers' requests and brings each one to an instance
// that carries its job, in the order route, admit, choose, send, judge,
// answer. What cannot be served is refused at once, with the reason, with when
// to come back, and with whether it may have been run.
package gateway
