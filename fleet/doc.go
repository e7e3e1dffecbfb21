// Package fleet assigns the instances of a data hall to pools, places jobs on
// them, decides when an instance may leave its pool, and computes the number of
// spares needed. It does no I/O and starts no goroutines: Decide computes the next
// plan from its input, ComputeOrders turns a written plan into orders to the
// platform.
package fleet
