package schedule

import (
	"math"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Budget limits how much more work of an organisation may be started.
	Budget struct {
		// Remaining is the unused part of the cap. A resource without a limit is Unlimited.
		Remaining tw.Resources
		// MaxCharge is the most that a single reservation is charged. Thus a subtask that is
		// larger than any share of the cap that a pool can have may still run alone, as the
		// platform lets one subtask exceed a cap.
		MaxCharge tw.Resources
		// Cap is the organisation's cap over all pools.
		Cap tw.Resources
		// Withheld is the total charge of the subtasks that the cap kept from being
		// placed.
		Withheld tw.Resources
		// MinWithheld is the smallest charge, by CPU, among the withheld work: of one
		// subtask, or of a whole gang.
		MinWithheld tw.Resources
	}

	// Budgets holds the budget of each organisation that has a cap.
	Budgets map[tw.OrganisationID]*Budget
)

// Unlimited stands for a resource without a limit. It is far below the maximum so that
// sums do not overflow.
const Unlimited = math.MaxInt64 / 1024

// Charge returns what a reservation is charged against the budget.
func (b *Budget) Charge(reservation tw.Resources) tw.Resources {
	return tw.Resources{
		CPU: min(reservation.CPU, b.MaxCharge.CPU), MemoryMB: min(reservation.MemoryMB, b.MaxCharge.MemoryMB), GPU: min(reservation.GPU, b.MaxCharge.GPU),
	}
}

// allowsGang reports whether the budget has room for all n members of a gang. For this check
// the gang as a whole is charged at most MaxCharge, so that a gang that fits into the whole cap
// but not into a pool's share of it can run.
func (b *Budget) allowsGang(reservation tw.Resources, n int) bool {
	whole := reservation.Times(n)
	return b.Cap.Fits(whole) && b.Remaining.Fits(b.Charge(whole))
}

// maxFitting returns how many of n equal reservations fit into the budget.
func (b *Budget) maxFitting(reservation tw.Resources, n int) int {
	charge := b.Charge(reservation)
	for n > 0 && !b.Remaining.Fits(charge.Times(n)) {
		n--
	}
	return n
}

// admit returns the part of a group that fits into its organisation's budget, or nil if
// nothing fits. It sets g.Withheld to the number of subtasks that do not fit.
func (b Budgets) admit(g *Group) *Group {
	budget := b[g.Organisation]
	if budget == nil {
		return g
	}
	waiting := len(g.Subtasks)
	n := 0
	switch {
	case !g.Step.Gang:
		n = budget.maxFitting(g.Step.Need, waiting)
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

// addWithheld adds the withheld subtasks of a group to the budget's totals.
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

// spend charges placed subtasks of a group to its organisation's budget.
func (b Budgets) spend(g *Group, placed int) {
	if budget := b[g.Organisation]; budget != nil {
		budget.Remaining = budget.Remaining.Minus(budget.Charge(g.Step.Need).Times(placed))
	}
}
