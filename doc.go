// Package tamarindworks holds the domain types of the fleet capacity and
// maintenance manager: ids and units, the operators' configuration, the plan
// that assigns instances to pools, and the interfaces to external services
// (stores, instance list, machines, workers, peers, clock).
//
// It serves two kinds of daemon: entry daemons forward requests to instances
// (FleetConfig, Plan, Instance, Store), queue daemons run submissions on workers
// (QueueConfig, Submission, Machine, KV).
//
// It imports no other package of this module.
package tamarindworks
