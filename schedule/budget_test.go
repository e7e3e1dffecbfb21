package schedule_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// newBudget returns a budget that limits only the CPU. Of the limit, left millicores remain.
func newBudget(left, limit tw.Millicores) *schedule.Budget {
	whole := tw.Resources{CPU: limit, MemoryMB: schedule.Unlimited, GPU: schedule.Unlimited}
	b := &schedule.Budget{Remaining: whole, MaxCharge: whole, Cap: whole}
	b.Remaining.CPU = left
	return b
}

func waitingGroup(organisation tw.OrganisationID, name string, count int, cpu tw.Millicores) *schedule.Group {
	g := &schedule.Group{Organisation: organisation, Step: &tw.Step{Count: count, Need: tw.Resources{CPU: cpu, MemoryMB: 10}}}
	for n := range count {
		g.Subtasks = append(g.Subtasks, tw.SubtaskID{Submission: tw.SubmissionID(name), Index: n})
	}
	return g
}

func freeWorkers(workers int, cpu tw.Millicores) []*schedule.Worker {
	var out []*schedule.Worker
	for n := range workers {
		room := tw.Resources{CPU: cpu, MemoryMB: 1000}
		out = append(out, &schedule.Worker{ID: tw.WorkerID(fmt.Sprintf("w%d", n)), Free: room, Attainable: room, Rank: n})
	}
	return out
}

// budgetCases are groups placed on two workers of four cores while organisation red has a
// budget, with the number of subtasks that are placed and withheld.
var budgetCases = map[string]struct {
	budget           *schedule.Budget
	group            *schedule.Group
	gang             bool
	placed, withheld int
}{
	"no cap":                               {group: waitingGroup("red", "s", 10, 1000), placed: 8},
	"cap of another organisation":          {budget: newBudget(1000, 1000), group: waitingGroup("blue", "s", 10, 1000), placed: 8},
	"work without an organisation":         {budget: newBudget(1000, 1000), group: waitingGroup("", "s", 10, 1000), placed: 8},
	"a part fits":                          {budget: newBudget(2500, 4000), group: waitingGroup("red", "s", 10, 1000), placed: 2, withheld: 8},
	"all fits":                             {budget: newBudget(9000, 9000), group: waitingGroup("red", "s", 4, 1000), placed: 4},
	"nothing is left":                      {budget: newBudget(-500, 4000), group: waitingGroup("red", "s", 4, 1000), withheld: 4},
	"a subtask larger than the cap":        {budget: newBudget(1000, 1000), group: waitingGroup("red", "s", 2, 3000), placed: 1, withheld: 1},
	"a larger subtask while another runs":  {budget: newBudget(900, 1000), group: waitingGroup("red", "s", 2, 3000), withheld: 2},
	"a gang that fits":                     {budget: newBudget(4000, 4000), group: waitingGroup("red", "s", 4, 1000), gang: true, placed: 4},
	"a gang of which a part would fit":     {budget: newBudget(3000, 4000), group: waitingGroup("red", "s", 4, 1000), gang: true, withheld: 4},
	"a gang that the whole cap can't hold": {budget: newBudget(3000, 3000), group: waitingGroup("red", "s", 4, 1000), gang: true, withheld: 4},
}

func TestBudgets(t *testing.T) {
	for name, c := range budgetCases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c.group.Step.Gang = c.gang
			budgets := schedule.Budgets{}
			if c.budget != nil {
				budgets["red"] = c.budget
			}
			placed := schedule.Place([]*schedule.Group{c.group}, freeWorkers(2, 4000), budgets)
			g.Expect(placed).To(HaveLen(c.placed))
			g.Expect(c.group.Withheld).To(Equal(c.withheld))
			if c.budget != nil {
				g.Expect(c.budget.Withheld.CPU > 0).To(Equal(c.withheld > 0))
			}
		})
	}
}

// TestBudgetPrefersUrgentWork checks that the most urgent work of an organisation is charged
// to its budget first, and that other organisations can use the room that a cap leaves.
func TestBudgetPrefersUrgentWork(t *testing.T) {
	g := NewWithT(t)
	lessUrgent, urgent, other := waitingGroup("red", "calm", 4, 1000), waitingGroup("red", "urgent", 2, 1000), waitingGroup("blue", "other", 8, 1000)
	lessUrgent.Urgency.Priority, urgent.Urgency.Priority, other.Urgency.Priority = 1, 0, 2
	placed := schedule.Place([]*schedule.Group{lessUrgent, urgent, other}, freeWorkers(2, 4000), schedule.Budgets{"red": newBudget(3000, 3000)})
	count := map[tw.SubmissionID]int{}
	for _, p := range placed {
		count[p.Subtask.Submission]++
	}
	g.Expect(count).To(Equal(map[tw.SubmissionID]int{"urgent": 2, "calm": 1, "other": 5}))
}

// TestBudgetIsNotExceeded checks with random groups that placed work stays within the budget. No
// subtask is larger than the cap, because such a subtask may exceed the budget.
func TestBudgetIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := tw.Millicores(rapid.IntRange(-500, 6000).Draw(t, "left"))
		budgets := schedule.Budgets{"red": newBudget(left, 6000)}
		var groups []*schedule.Group
		for n := range rapid.IntRange(1, 6).Draw(t, "groups") {
			cpu := tw.Millicores(rapid.IntRange(1, 6000).Draw(t, "cpu"))
			group := waitingGroup("red", fmt.Sprint(n), rapid.IntRange(1, 9).Draw(t, "count"), cpu)
			group.Step.Gang = rapid.Bool().Draw(t, "gang")
			groups = append(groups, group)
		}
		var used tw.Millicores
		for _, p := range schedule.Place(groups, freeWorkers(4, 4000), budgets) {
			for _, g := range groups {
				if g.Subtasks[0].Submission == p.Subtask.Submission {
					used += g.Step.Need.CPU
				}
			}
		}
		if used > max(0, left) {
			t.Fatalf("%d of %d used", used, left)
		}
	})
}
