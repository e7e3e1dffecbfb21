package maintenance

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// orderLimiter bounds the orders of one pass by what the platform takes: refused ones cost too, and
// are given again. It falls by half when some were refused for their rate, and rises again
// while all that it allows are taken.
type orderLimiter struct{ limit int }

const (
	initialOrderLimit = 256
	minOrderLimit     = 16
	maxOrderLimit     = 1024
)

// split tells which orders are given now, those for waves and as many others as the pace
// allows, and which later. Machines that are switched off can wait.
func (p *orderLimiter) split(orders []Order, parking tw.PoolID) (now, later []Order) {
	orders = slices.Clone(orders)
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(a.rank(parking), b.rank(parking)) })
	moves := 0
	for _, order := range orders {
		if order.Wave == 0 {
			moves++
		}
		if moves > p.limit {
			later = append(later, order)
		} else {
			now = append(now, order)
		}
	}
	return now, later
}

// rank puts the orders first that are to be given first.
func (o *Order) rank(parking tw.PoolID) int {
	switch {
	case o.Wave != 0:
		return 0
	case o.Pool != parking:
		return 1
	}
	return 2
}

// adjust takes up how the orders of a pass ended, an error or nil for each.
func (p *orderLimiter) adjust(errs []error) {
	for _, err := range errs {
		if errors.Is(err, tw.ErrRateLimited) {
			p.limit = max(minOrderLimit, p.limit/2)
			return
		}
	}
	if len(errs) >= p.limit {
		p.limit = min(maxOrderLimit, p.limit+p.limit/4)
	}
}
