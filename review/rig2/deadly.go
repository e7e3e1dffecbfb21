package main

import (
	"fmt"
	"time"
)

// deadlySubtask: a subtask crashes each worker that starts it, before the start is answered, and the worker
// is silent from then on. Its machine starts another one some seconds later.
func deadlySubtask(r *rig) (verdict, error) {
	const (
		pool = "timing"
		id   = "00000000000000d0"
		// After crashed workers, allowed further starts are within the rule.
		crashed, allowed = 3, 2
	)
	r.configure(1, []string{pool}, map[string]string{routePrefix: pool})
	r.fleet.onSilent = r.cloud.restart
	if err := r.addWorkers(pool, 0, 9); err != nil {
		return verdict{}, err
	}
	if err := r.startDaemons(3, pool); err != nil {
		return verdict{}, err
	}
	d := r.daemons[0]
	time.Sleep(3 * time.Second)
	job := jobSpec{Spec: "deadly", Steps: []stepSpec{
		{Count: 2, Gang: true, CPU: 880, MemMB: 910, EstimatedMs: 800, work: 800 * time.Millisecond, deadly: r.trouble},
	}}
	if err := r.submit(d, routePrefix, id, job); err != nil {
		return verdict{}, err
	}
	accepted := time.Now()
	state := ""
	for time.Since(accepted) < 60*time.Second {
		state = r.state(d, routePrefix, id)
		if state == "completed" || state == "failed" {
			break
		}
		time.Sleep(time.Second)
	}
	starts := len(r.fleet.startsOf(id + ".0.0.0"))
	text := fmt.Sprintf("%d starts in %.0f s, %d after three workers had crashed; the job is shown as %s",
		starts, time.Since(accepted).Seconds(), max(0, starts-crashed), state)
	if r.trouble && starts > crashed+allowed {
		return verdict{broken: true, text: "BUDGET: " + text}, nil
	}
	return verdict{text: text}, nil
}
