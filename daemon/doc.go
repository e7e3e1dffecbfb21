// Package daemon assembles the daemons from their parts: settings, listeners,
// gateway, control, admin port, and graceful shutdown.
package daemon
