// Package experiment measures the product on the stand-ins, in one process.
// docs/CAPACITY.md and docs/DESIGN.md give the figures and the commands.
package experiment
