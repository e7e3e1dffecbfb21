// Package daemon assembles the entry daemon (Daemon) and the queue daemon
// (QueueDaemon) from their parts, with their settings, listeners and graceful
// shutdown.
package daemon
