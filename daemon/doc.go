// Package daemon joins the parts of an entry daemon: settings, listeners,
// gateway, control, admin port, and the planned stop.
package daemon
