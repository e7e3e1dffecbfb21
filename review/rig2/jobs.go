package main

import "time"

// stepSpec is a step of a job, in the fields of the platform's protocol, and how its subtasks behave.
type stepSpec struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"memMb,omitempty"`
	EstimatedMs int    `json:"estimatedMs,omitempty"`
	DependsOn   []int  `json:"dependsOn,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`

	// work is how long a subtask works.
	work time.Duration
	// deadly means that the first of them crashes its worker as it begins.
	deadly bool
}

// jobSpec is a job as callers submit it.
type jobSpec struct {
	Spec       string     `json:"spec"`
	Steps      []stepSpec `json:"steps"`
	MaxRuns    int        `json:"maxRuns,omitempty"`
	StartAtMs  int64      `json:"startAtMs,omitempty"`
	IntervalMs int64      `json:"intervalMs,omitempty"`
}
