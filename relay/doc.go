// Package relay gives orders to start over other daemons while the own link is full. A batch
// to a relay names a spec once for each submission, while each order to a worker carries it
// with a request of its own.
//
// An order keeps the owner's fence, run number and deadline on the way, so that a worker
// treats it as one that the owner has sent itself, however late it comes.
package relay
