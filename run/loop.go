package run

import "time"

const (
	// minWorkerWatchInterval and looksGap are the least times between two rounds of
	// watchWorkers and of lookAround. A round costs some microseconds a worker;
	// a look or a doubt that waits so much longer is not noticed beside a
	// worker's 2 ms.
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

// drainEvents handles what has come meanwhile before the next step.
func (o *Owner) drainEvents() {
	for range eventQueueSize {
		select {
		case event := <-o.events:
			// An answer that came after the first event must not be noted with its time:
			// the worker's clock would be taken to be ahead.
			o.now = o.clock.Now()
			event()
		default:
			return
		}
	}
}

// step does what is due and returns when something is due again.
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
	next = earlier(next, o.placeIfDue())
	next = earlier(next, o.throttle(&o.nextRunWatchAt, watchInterval, o.watchRuns))
	next = earlier(next, o.caps.adjust(o))
	next = earlier(next, o.throttle(&o.nextPollsAt, minPollInterval, o.pollWorkers))
	return earlier(next, o.writer.flush())
}

// throttle does a duty unless it was done less than a gap ago. It returns when
// the duty is due again.
func (o *Owner) throttle(from *time.Time, gap time.Duration, duty func() time.Time) time.Time {
	if o.now.Before(*from) {
		return *from
	}
	*from = o.now.Add(gap)
	next := duty()
	if !next.IsZero() && next.Before(*from) {
		return *from
	}
	return next
}
