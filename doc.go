// Package tamarindworks holds the domain types of the fleet capacity and
// maintenance manager: ids and units, the operators' configuration, the plan
// that assigns instances to pools, and the interfaces to external services
// (store, instance list, workers, peers, clock).
//
// All other packages of this module import this one; it imports none of them.
package tamarindworks
