// Package tamarindworks holds the domain types of the fleet capacity and
// maintenance manager: ids and units, the operators' configuration, the plan
// that says which instance is in which pool, and the interfaces to what lies
// outside (store, instance list, workers, peers, clock).
//
// Everything else in this module imports this package; it imports nothing of
// the module itself.
package tamarindworks
