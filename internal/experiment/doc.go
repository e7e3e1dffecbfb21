// Package experiment measures the system against the fakes of package standin, in one
// process. docs/CAPACITY.md and docs/DESIGN.md list the results and the commands.
package experiment
