// Package schedule decides on which worker each waiting subtask runs. It is
// pure: no input or output, no clock, no randomness, so that a decision can
// be repeated from its inputs.
package schedule
