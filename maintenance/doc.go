// Package maintenance schedules maintenance of machines and moves machines between
// pools. One daemon of the deployment does this at a time, under its own fence.
//
// A machine is changed only after the owner of its pool has vacated it.
package maintenance
