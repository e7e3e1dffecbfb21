// Package control runs a daemon's control loops: it distributes the configuration
// and the hall's plan to the gateway, maintains the membership of daemons by
// gossip, and plans for the hall in the daemon that holds the planner's lease.
package control
