package main

import (
	"fmt"
	"time"
)

// reservedForGang: a gang that lasts runs on the nine workers of a pool, one member on each. One of
// the workers is lost for good. After that, a job that needs the label of three of the others is submitted.
func reservedForGang(r *rig) (verdict, error) {
	const (
		pool    = "timing"
		other   = "replays"
		lasting = "00000000000000f0"
		id      = "00000000000000f1"
		first   = "00000000000000f2"
		// poolSize is the number of workers of the service on the sheet.
		poolSize = 9
	)
	r.configure(1, []string{pool, other}, map[string]string{routePrefix: pool, "/tije37/": other})
	// Those of the first hall are of kind b. The last one, in the third hall, is lost.
	var workers []*worker
	for n := range poolSize {
		kind := "a"
		if n < poolSize/3 {
			kind = "b"
		}
		w := &worker{
			id: workerName(n), machine: fmt.Sprintf("m-%04d", n), pool: pool, hall: hallName(3 * n / poolSize),
			labels: []string{kind, fmt.Sprintf("r1-%d", n/4)}, cpu: 16000, mem: 32768,
		}
		if err := r.addWorker(w); err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	if err := r.addWorkers(other, poolSize, 4); err != nil {
		return verdict{}, err
	}
	if err := r.startDaemons(3, pool, other); err != nil {
		return verdict{}, err
	}
	d := r.daemons[0]
	usual := jobSpec{Spec: "kind b", Steps: []stepSpec{{Count: 2, CPU: 880, MemMB: 910, EstimatedMs: 800, Constraints: "b", work: 800 * time.Millisecond}}}
	completed := func(id string) func() bool { return func() bool { return r.state(d, routePrefix, id) == "completed" } }
	gang := jobSpec{Spec: "lasting gang", Steps: []stepSpec{
		{Count: poolSize, CPU: 9000, MemMB: 3400, EstimatedMs: 900, LongRunning: true, Gang: true, work: 900 * time.Millisecond},
	}}
	if err := r.submit(d, routePrefix, lasting, gang); err != nil {
		return verdict{}, err
	}
	if err := waitFor(10*time.Second, func() bool { return len(r.fleet.startsOf(lasting)) == poolSize }, errNotStarted); err != nil {
		return verdict{}, err
	}
	if err := r.submit(d, routePrefix, first, usual); err != nil {
		return verdict{}, err
	}
	if err := waitFor(10*time.Second, completed(first), errNotStarted); err != nil {
		return verdict{}, err
	}
	if r.trouble {
		r.cloud.lose(workers[poolSize-1])
	}
	time.Sleep(6 * time.Second)
	if err := r.submit(d, routePrefix, id, usual); err != nil {
		return verdict{}, err
	}
	accepted := time.Now()
	for time.Since(accepted) < 40*time.Second {
		if completed(id)() {
			return verdict{text: fmt.Sprintf("the job completed %.1f s after it was accepted", time.Since(accepted).Seconds())}, nil
		}
		time.Sleep(time.Second)
	}
	used, capacity := r.fleet.usedCPU(pool)
	return verdict{broken: true, text: fmt.Sprintf("LOST: 40 s after it was accepted the job has %d starts, with %d of %d millicores in use",
		len(r.fleet.startsOf(id)), used, capacity)}, nil
}
