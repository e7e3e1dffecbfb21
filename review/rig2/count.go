package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// countAfterRouteChange: ten jobs of a queue wait for room in the pool of its service, whose workers alone have
// the label that they need. Then the operator sends the queue to another service.
func countAfterRouteChange(r *rig) (verdict, error) {
	const (
		before, after = "timing", "replays"
		lasting       = "00000000000000c0"
		waiting       = 10
	)
	pools := []string{before, after}
	r.configure(1, pools, map[string]string{routePrefix: before})
	for n := range 3 {
		w := &worker{
			id: workerName(n), machine: fmt.Sprintf("m-%04d", n), pool: before, hall: hallName(n), labels: []string{"b", "r1-0"}, cpu: 16000, mem: 32768,
		}
		if err := r.addWorker(w); err != nil {
			return verdict{}, err
		}
	}
	if err := r.addWorkers(after, 4, 3); err != nil {
		return verdict{}, err
	}
	if err := r.startDaemons(3, pools...); err != nil {
		return verdict{}, err
	}
	d := r.daemons[0]
	full := jobSpec{Spec: "lasting", Steps: []stepSpec{{Count: 3, CPU: 16000, MemMB: 3400, EstimatedMs: 900, LongRunning: true, MayMiss: 1, Constraints: "b"}}}
	if err := r.submit(d, routePrefix, lasting, full); err != nil {
		return verdict{}, err
	}
	if err := waitFor(10*time.Second, func() bool { return len(r.fleet.startsOf(lasting)) == 3 }, errNotStarted); err != nil {
		return verdict{}, err
	}
	job := jobSpec{Spec: "waits", Steps: []stepSpec{{Count: 6, CPU: 880, MemMB: 910, EstimatedMs: 800, Constraints: "b", work: 800 * time.Millisecond}}}
	for n := range waiting {
		if err := r.submit(d, routePrefix, fmt.Sprintf("00000000000000d%x", n), job); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		r.configure(2, pools, map[string]string{routePrefix: after})
	}
	time.Sleep(8 * time.Second)
	low, tells := false, ""
	for _, daemon := range r.daemons {
		got := r.call(daemon, http.MethodGet, routePrefix, nil)
		var body struct {
			Pending int `json:"pending"`
		}
		if got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &body) != nil {
			return verdict{}, fmt.Errorf("count not told: %d %s", got.status, got.body)
		}
		tells += fmt.Sprintf(" %s tells %d;", daemon.id, body.Pending)
		if 2*body.Pending < waiting {
			low = true
		}
	}
	states := map[string]int{}
	for n := range waiting {
		id := fmt.Sprintf("00000000000000d%x", n)
		states[r.state(d, routePrefix, id)]++
		if len(r.fleet.startsOf(id)) > 0 {
			return verdict{}, fmt.Errorf("job %s did not wait", id)
		}
	}
	text := fmt.Sprintf("%d accepted jobs wait, states %v;%s", waiting, states, tells)
	if low {
		return verdict{broken: true, text: "MIXED: " + text}, nil
	}
	return verdict{text: text}, nil
}
