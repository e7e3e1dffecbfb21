// Package fleet decides which instance of a data hall is in which pool, which
// jobs it carries, when it may leave, and how many spares are needed. It does
// no input or output and starts no goroutine: Decide turns what is known into
// the next plan, Actions turns a written plan into orders to the platform.
package fleet
