// Command rig2 runs the cases of the second review: queue daemons as separate processes beside
// stand-ins of the platform, its workers and its callers, all on loopback addresses.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
