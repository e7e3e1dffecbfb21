package run_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

type (
	// plannedFault is a fault at a point. One or two make an order of events.
	plannedFault struct {
		at    protocolPoint
		fault fault
	}

	// exploration counts the orders that were played on a day, and lists those that broke a rule.
	exploration struct {
		t   *testing.T
		day cancelDay
		// played are the orders, struck those of them of which all faults came, failed those that broke a
		// rule.
		played, struck, failed int
		broken                 map[string][]string
	}
)

func (p plannedFault) String() string {
	return fmt.Sprintf("%s %d: %s", p.at.step, p.at.n, p.fault.name)
}

// play plays the day with faults and returns the points that were reached.
func (e *exploration) play(order ...plannedFault) []tracedPoint {
	planned := map[protocolPoint][]fault{}
	for _, p := range order {
		planned[p.at] = append(planned[p.at], p.fault)
	}
	result := e.day.play(e.t, planned)
	e.played++
	if result.struck == len(order) {
		e.struck++
	}
	if len(result.broken) > 0 {
		e.failed++
	}
	for _, rule := range result.broken {
		e.broken[rule] = append(e.broken[rule], fmt.Sprint(order))
	}
	return result.trace
}

// applies reports whether a fault can strike at a point.
func (f fault) applies(p tracedPoint) bool {
	read := slices.Contains([]protocolStep{stepLoad, stepInbox, stepFind, stepNotice}, p.step)
	return !(f.atOwner && p.byOwner) && !(read && (f.call == callLate || f.call == callUnanswered))
}

// explore plays the day with each fault at each point, and with pairs of basic faults.
func (e *exploration) explore(all, pairs bool) {
	trace := e.play()
	for _, first := range trace {
		for _, f := range protocolFaults() {
			if !f.applies(first) || !all && !f.basic {
				continue
			}
			o := plannedFault{first.protocolPoint, f}
			after := e.play(o)
			if pairs && f.basic {
				e.explorePairs(o, after)
			}
		}
	}
}

// explorePairs plays the day with a second fault at each point that is reached after a first one.
func (e *exploration) explorePairs(first plannedFault, trace []tracedPoint) {
	from := slices.IndexFunc(trace, func(p tracedPoint) bool { return p.protocolPoint == first.at })
	if from < 0 {
		return
	}
	for _, second := range trace[from:] {
		for _, f := range protocolFaults() {
			same := second.protocolPoint == first.at
			if f.basic && f.applies(second) && !(same && (f.call == callDone) == (first.fault.call == callDone)) {
				e.play(first, plannedFault{second.protocolPoint, f})
			}
		}
	}
}

// cancelDays are all days.
func cancelDays() (out []cancelDay) {
	paths := []callerPath{throughOwner, throughStore, throughBoth, throughLate}
	for _, slow := range []bool{false, true} {
		for _, accept := range paths {
			for _, cancel := range paths {
				for _, moment := range []cancelMoment{whileStored, onceAccepted, onceRunning, repeated} {
					out = append(out, cancelDay{accept: accept, cancel: cancel, moment: moment, slow: slow})
				}
			}
		}
	}
	return out
}

// shortDays are the days that are played without TAMARIND_CANCEL_ORDERS.
var shortDays = []cancelDay{
	{accept: throughOwner, cancel: throughOwner, moment: whileStored},
	{accept: throughOwner, cancel: throughOwner, moment: onceRunning},
	{accept: throughStore, cancel: throughStore, moment: whileStored},
	{accept: throughOwner, cancel: throughStore, moment: onceRunning, slow: true},
}

// TestCancelOrders guards against answered cancels that are lost, or work that goes on after them, in an
// order of events that no other test has: it strikes each step of the protocol with a fault.
// TAMARIND_CANCEL_ORDERS is "basic" for the basic faults on all days, "all" for all faults, and "pairs" for
// pairs of basic faults as well; TAMARIND_CANCEL_DAY is a part of the names of the days.
func TestCancelOrders(t *testing.T) {
	t.Parallel()
	extent, only := os.Getenv("TAMARIND_CANCEL_ORDERS"), os.Getenv("TAMARIND_CANCEL_DAY")
	for _, day := range cancelDays() {
		if extent == "" && !slices.Contains(shortDays, day) || !strings.Contains(day.String(), only) {
			continue
		}
		t.Run(day.String(), func(t *testing.T) {
			t.Parallel()
			e := &exploration{t: t, day: day, broken: map[string][]string{}}
			e.explore(extent == "all" || extent == "pairs", extent == "pairs")
			t.Logf("%d orders, all faults came in %d, %d broke a rule", e.played, e.struck, e.failed)
			for _, rule := range slices.Sorted(maps.Keys(e.broken)) {
				orders := e.broken[rule]
				t.Errorf("%s: %d orders, such as\n\t%s", rule, len(orders), strings.Join(orders[:min(len(orders), maxOrdersShown)], "\n\t"))
			}
		})
	}
}

// maxOrdersShown bounds the orders that are listed for a rule.
const maxOrdersShown = 8
