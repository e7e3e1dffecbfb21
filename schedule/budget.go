package schedule

import (
	"math"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Budget is what of an organisation may still be started.
	Budget struct {
		// Remaining is what its cap leaves. A resource without a limit is Unlimited.
		Remaining tw.Resources
		// MaxCharge is what a claim counts for at the most. Work that is larger than a pool's
		// part of the cap can ever be runs alone: the platform lets a cap be exceeded by
		// one subtask.
		MaxCharge tw.Resources
		// Cap is the organisation's whole cap.
		Cap tw.Resources
		// Withheld is what waited for the cap alone, or would have found room.
		Withheld tw.Resources
		// MinWithheld is what the least of it counts for: a subtask, or a gang.
		MinWithheld tw.Resources
	}

	// Budgets are those of the organisations that have a cap.
	Budgets map[tw.OrganisationID]*Budget
)

// Unlimited stands for a resource without a limit; sums of many stay in range.
const Unlimited = math.MaxInt64 / 1024

// Charge is what a claim counts for against the budget.
func (b *Budget) Charge(claim tw.Resources) tw.Resources {
	return tw.Resources{
		CPU: min(claim.CPU, b.MaxCharge.CPU), MemoryMB: min(claim.MemoryMB, b.MaxCharge.MemoryMB), GPU: min(claim.GPU, b.MaxCharge.GPU),
	}
}

// allowsGang tells whether the budget leaves room for all of a gang. One that the whole cap
// has room for, but no pool's part of it, counts as the largest that it can.
func (b *Budget) allowsGang(claim tw.Resources, n int) bool {
	whole := claim.Times(n)
	return b.Cap.Fits(whole) && b.Remaining.Fits(b.Charge(whole))
}

// maxClaims is how many claims the budget leaves room for, at most n.
func (b *Budget) maxClaims(claim tw.Resources, n int) int {
	counts := b.Charge(claim)
	for n > 0 && !b.Remaining.Fits(counts.Times(n)) {
		n--
	}
	return n
}

// admit is the part of a group that its organisation's cap leaves room for; nil if it is
// nothing. The rest is counted in the group as Withheld.
func (b Budgets) admit(g *Group) *Group {
	budget := b[g.Organisation]
	if budget == nil {
		return g
	}
	waiting := len(g.Subtasks)
	n := 0
	switch {
	case !g.Step.Gang:
		n = budget.maxClaims(g.Step.Need, waiting)
	case budget.allowsGang(g.Step.Need, waiting):
		n = waiting
	}
	g.Withheld = waiting - n
	budget.addWithheld(g)
	switch n {
	case 0:
		return nil
	case waiting:
		return g
	}
	admitted := *g
	admitted.Subtasks = g.Subtasks[:n]
	return &admitted
}

// addWithheld notes the work of a group that the budget leaves no room for.
func (b *Budget) addWithheld(g *Group) {
	if g.Withheld == 0 {
		return
	}
	least := b.Charge(g.Step.Need)
	b.Withheld = b.Withheld.Plus(least.Times(g.Withheld))
	if g.Step.Gang {
		least = b.Charge(g.Step.Need.Times(g.Withheld))
	}
	if (b.MinWithheld == tw.Resources{}) || least.CPU < b.MinWithheld.CPU {
		b.MinWithheld = least
	}
}

// spend takes placed subtasks of a group out of its organisation's budget.
func (b Budgets) spend(g *Group, placed int) {
	if budget := b[g.Organisation]; budget != nil {
		budget.Remaining = budget.Remaining.Minus(budget.Charge(g.Step.Need).Times(placed))
	}
}
