package main

import (
	"fmt"
	"time"
)

// gangAfterKill: a job whose second step is a gang of 24 subtasks, on four workers. While the first step
// runs, the daemon that gives the orders is killed and started again.
func gangAfterKill(r *rig) (verdict, error) {
	const (
		pool  = "timing"
		first = "00000000000000a1"
		id    = "00000000000000a2"
	)
	r.configure(1, []string{pool}, map[string]string{routePrefix: pool})
	if err := r.addWorkers(pool, 0, 4); err != nil {
		return verdict{}, err
	}
	if err := r.startDaemons(3, pool); err != nil {
		return verdict{}, err
	}
	caller := r.daemons[0]
	if r.owner(pool) == caller {
		caller = r.daemons[1]
	}
	usual := jobSpec{Spec: "usual", Steps: []stepSpec{{Count: 6, CPU: 880, MemMB: 910, EstimatedMs: 800, work: 800 * time.Millisecond}}}
	if err := r.submit(caller, routePrefix, first, usual); err != nil {
		return verdict{}, err
	}
	if err := waitFor(10*time.Second, func() bool { return r.state(caller, routePrefix, first) == "completed" }, errNotStarted); err != nil {
		return verdict{}, err
	}
	job := jobSpec{Spec: "gang", Steps: []stepSpec{
		{Count: 1, CPU: 880, MemMB: 910, EstimatedMs: 5000, work: 5 * time.Second},
		{Count: 24, CPU: 880, MemMB: 910, EstimatedMs: 800, DependsOn: []int{0}, Gang: true, work: 800 * time.Millisecond},
	}}
	if err := r.submit(caller, routePrefix, id, job); err != nil {
		return verdict{}, err
	}
	if err := waitFor(5*time.Second, func() bool { return len(r.fleet.startsOf(id)) > 0 }, errNotStarted); err != nil {
		return verdict{}, err
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		owner := r.owner(pool)
		r.kill(owner)
		time.Sleep(500 * time.Millisecond)
		if err := r.start(owner); err != nil {
			return verdict{}, err
		}
	}
	if err := waitFor(30*time.Second, func() bool { return len(r.fleet.endsOf(id+".0.0.")) > 0 }, errNotStarted); err != nil {
		return verdict{}, err
	}
	ready := time.Now()
	for time.Since(ready) < 40*time.Second {
		if r.state(caller, routePrefix, id) == "completed" {
			return verdict{text: fmt.Sprintf("the gang completed %.1f s after its turn came", time.Since(ready).Seconds())}, nil
		}
		time.Sleep(time.Second)
	}
	starts := len(r.fleet.startsOf(id + ".0.1."))
	used, capacity := r.fleet.usedCPU(pool)
	return verdict{broken: true, text: fmt.Sprintf("LOST: 40 s after its turn came the gang has %d starts, with %d of %d millicores in use", starts, used, capacity)}, nil
}
