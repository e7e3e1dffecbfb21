package fleet

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	tw "github.com/tamarindworks/tamarindworks"
)

// TestRandomEventOrder checks the invariants of simHall under random sequences of
// pauses, crashes, instance losses, lost responses, concurrent planners and
// configuration changes.
func TestRandomEventOrder(t *testing.T) {
	setRapidFlags(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newSimHall()
		var generation tw.Generation
		// Common steps are listed twice, so that they are drawn more often and
		// handovers make progress.
		t.Repeat(map[string]func(*rapid.T){
			"load input": w.loadInput, "load input again": w.loadInput,
			"decide": w.decide, "decide again": w.decide,
			"orders": w.executeOrders, "orders again": w.executeOrders,
			"heartbeat": w.heartbeat, "heartbeat again": w.heartbeat,
			"fetch": w.fetch, "fetch again": w.fetch,
			"dispatch": w.dispatch, "dispatch again": w.dispatch,
			"finish":        w.finishRequest,
			"crash":         w.crash,
			"register":      w.register,
			"lose instance": w.removeInstance,
			"add instance":  w.addInstance,
			"phase":         w.setPhase,
			"configure":     w.configure,
			"task runs":     w.taskRuns,
			"": func(t *rapid.T) {
				if w.stored.Generation < generation {
					t.Fatalf("generation fell from %d to %d", generation, w.stored.Generation)
				}
				generation = w.stored.Generation
			},
		})
	})
}

// setRapidFlags sets rapid's flags to fixed values unless they were given, so that every
// run is the same. Another seed tests other sequences.
func setRapidFlags(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "200"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
}
