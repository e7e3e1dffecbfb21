// Package schedule assigns waiting subtasks to workers and selects runs to
// preempt. It does no I/O and uses neither a clock nor randomness, so a decision
// can be reproduced from its inputs.
package schedule
