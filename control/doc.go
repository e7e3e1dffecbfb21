// Package control runs the duties around the decisions: it carries the
// configuration and the hall's plan to the gateway, keeps membership between
// the daemons, and, for the daemon that holds its hall's lease, plans.
package control
