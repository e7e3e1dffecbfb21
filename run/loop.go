package run

import "time"

const (
	// minWorkerWatchInterval and minPollInterval are the minimum times between two rounds of
	// watchWorkers and of pollWorkers. A round costs some microseconds per worker. The delay
	// matters little, as a worker takes 2 ms to answer.
	minWorkerWatchInterval = 20 * time.Millisecond
	minPollInterval        = 5 * time.Millisecond
)

func (o *Owner) loop() {
	defer o.end()
	timer := (<-chan time.Time)(nil)
	var armed time.Time
	for {
		next := o.step()
		if timer == nil || next.Before(armed) || !armed.After(o.now) {
			armed = next
			timer = o.clock.After(max(0, next.Sub(o.now)))
		}
		select {
		case <-o.ctx.Done():
			return
		case event := <-o.events:
			o.now = o.clock.Now()
			event()
			o.drainEvents()
		case <-timer:
			timer = nil
			o.now = o.clock.Now()
			o.maxLoopDelay = max(o.maxLoopDelay, o.now.Sub(armed))
		}
	}
}

// drainEvents handles the events that have arrived meanwhile, before the next step.
func (o *Owner) drainEvents() {
	for range eventQueueSize {
		select {
		case event := <-o.events:
			// Each event gets the current time. An answer recorded with the time of an
			// earlier event would make the worker's clock seem to be ahead.
			o.now = o.clock.Now()
			event()
		default:
			return
		}
	}
}

// step does the work that is due and returns when the next is.
func (o *Owner) step() time.Time {
	next := o.now.Add(confirmInterval)
	if o.ownershipLost {
		return next
	}
	if o.draining {
		return earlier(next, o.writer.flush())
	}
	next = earlier(next, o.openRepetitions())
	next = earlier(next, o.throttle(&o.nextWorkerWatchAt, minWorkerWatchInterval, o.watchWorkers))
	o.orderRecorded()
	next = earlier(next, o.placeIfDue())
	next = earlier(next, o.throttle(&o.nextRunWatchAt, watchInterval, o.watchRuns))
	next = earlier(next, o.caps.adjust(o))
	next = earlier(next, o.throttle(&o.nextPollsAt, minPollInterval, o.pollWorkers))
	return earlier(next, o.writer.flush())
}

// throttle calls f, unless notBefore is in the future, and sets notBefore to now plus gap. It
// returns when f is due again.
func (o *Owner) throttle(notBefore *time.Time, gap time.Duration, f func() time.Time) time.Time {
	if o.now.Before(*notBefore) {
		return *notBefore
	}
	*notBefore = o.now.Add(gap)
	next := f()
	if !next.IsZero() && next.Before(*notBefore) {
		return *notBefore
	}
	return next
}
