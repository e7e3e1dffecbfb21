package run

import (
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// An order without an answer may be carried out later, by whichever incarnation of the worker has the ID
// by then. What is under way therefore belongs to the ID: when a worker is removed, it is kept for the next
// one with the same ID.

// ordersUnderWay are the orders to a worker that was removed which may still be carried out.
type ordersUnderWay struct {
	starts []lateStart
	// grantedAt is when an order that extends the deadline of runs was last sent.
	grantedAt time.Time
}

// maxOrderDelay is longer than the time after which an order without an answer may still be
// carried out.
const maxOrderDelay = 20 * time.Second

// keepOrdersUnderWay keeps what is under way to a removed worker for the next one with its ID.
func (o *Owner) keepOrdersUnderWay(w *worker) {
	o.underWay[w.entry.ID] = ordersUnderWay{starts: w.startsUnderWay(o.now), grantedAt: w.grantedAt}
}

// takeOrdersUnderWay returns what is under way to a worker that is added.
func (o *Owner) takeOrdersUnderWay(id tw.WorkerID) ordersUnderWay {
	underWay := o.underWay[id]
	delete(o.underWay, id)
	return underWay
}

// dropOldOrders forgets the orders that are not carried out any more.
func (o *Owner) dropOldOrders() {
	for id, underWay := range o.underWay {
		if o.now.Sub(underWay.grantedAt) > maxOrderDelay {
			delete(o.underWay, id)
		}
	}
}
