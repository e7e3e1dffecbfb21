package maintenance

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// orderLimiter adapts the number of orders per pass to the rate limit of the platform, as a refused
// order also has a cost and must be repeated. It halves the limit when an order was rate limited, and
// raises it while all allowed orders are accepted.
type orderLimiter struct{ limit int }

const (
	initialOrderLimit = 256
	minOrderLimit     = 16
	maxOrderLimit     = 1024
)

// split divides orders into those to issue now and those to issue later. All orders of waves are
// issued now, moves only up to the limit; moves to the parking pool come last, as they can wait.
func (l *orderLimiter) split(orders []Order, parking tw.PoolID) (now, later []Order) {
	orders = slices.Clone(orders)
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(a.rank(parking), b.rank(parking)) })
	moves := 0
	for _, order := range orders {
		if order.Wave == 0 {
			moves++
		}
		if moves > l.limit {
			later = append(later, order)
		} else {
			now = append(now, order)
		}
	}
	return now, later
}

// rank returns the sort key of an order; lower ranks are issued first.
func (o *Order) rank(parking tw.PoolID) int {
	switch {
	case o.Wave != 0:
		return 0
	case o.Pool != parking:
		return 1
	}
	return 2
}

// adjust adapts the limit to the results of a pass, an error or nil for each order.
func (l *orderLimiter) adjust(errs []error) {
	for _, err := range errs {
		if errors.Is(err, tw.ErrRateLimited) {
			l.limit = max(minOrderLimit, l.limit/2)
			return
		}
	}
	if len(errs) >= l.limit {
		l.limit = min(maxOrderLimit, l.limit+l.limit/4)
	}
}
