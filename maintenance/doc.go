// Package maintenance decides about machines: which leave for maintenance
// and when, and which pool each serves. One daemon of the deployment does
// this at a time, under a fence of its own.
//
// A machine is changed only after the owner of its pool has emptied it.
package maintenance
