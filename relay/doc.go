// Package relay sends start orders through other daemons, the relays, while the daemon's own
// network link is saturated or its processor time is short. A relay gets the spec of a submission
// only once and many orders in one batch, while a direct order to a worker is a separate request
// that carries the spec.
//
// A relayed order keeps the owner's fence, run number and deadline, so a worker treats it like
// one that the owner sent directly, however late it arrives.
package relay
