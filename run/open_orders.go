package run

import (
	"sync"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// openOrders has the last order for each subtask that has not ended.
	openOrders struct {
		mu   sync.Mutex
		last map[tw.SubtaskID]*openOrder
	}

	// openOrder is an order that has been taken from the queue and has not ended.
	openOrder struct {
		workOrder
		// ended is closed when the order ends; nil if no other order waits for that.
		ended chan struct{}
		// gate is the one that it has entered; nil if it has entered none. left: it no longer holds up
		// other orders.
		gate *gate
		left bool
	}
)

// add adds an order. It returns a channel that is closed when the earlier one for its subtask ends,
// nil if there is none.
func (o *openOrders) add(order *openOrder) (earlier <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if last := o.last[order.subtask]; last != nil {
		if last.ended == nil {
			last.ended = make(chan struct{})
		}
		earlier = last.ended
	}
	if o.last == nil {
		o.last = map[tw.SubtaskID]*openOrder{}
	}
	o.last[order.subtask] = order
	return earlier
}

// end removes an order.
func (o *openOrders) end(order *openOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last[order.subtask] == order {
		delete(o.last, order.subtask)
	}
	if order.ended != nil {
		close(order.ended)
	}
}
