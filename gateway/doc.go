// Package gateway is the HTTP proxy between callers and instances. A request is
// routed to a job, admitted or queued, sent to an instance that runs the job,
// and retried on another one where that is safe. A request that cannot be
// served is refused as early as possible, with a reason, whether it may have
// been run, and a Retry-After if a retry may help.
package gateway
