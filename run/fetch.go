package run

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

type (
	// fetches are the submissions that are being read from the store.
	fetches map[tw.SubmissionID]*fetch

	// fetch reads a submission, again until the store answers.
	fetch struct {
		// requests wait for the read in progress, next for one that begins after it: a read does not
		// show what was written after it began.
		requests, next []fetchRequest
	}

	fetchRequest struct {
		inInbox bool
		then    func()
	}
)

// fetch reads a submission that another daemon has stored and adds it. It retries until the store
// answers. After that it calls the given function, even if there is no such submission. inInbox
// is true if the submission's message is still in the inbox.
func (o *Owner) fetch(id tw.SubmissionID, inInbox bool, then func()) {
	request := fetchRequest{inInbox: inInbox, then: then}
	if f := o.fetches[id]; f != nil {
		f.next = append(f.next, request)
		return
	}
	o.fetches[id] = &fetch{requests: []fetchRequest{request}}
	o.readAfter(id, 0)
}

// readAfter reads a submission after a delay.
func (o *Owner) readAfter(id tw.SubmissionID, delay time.Duration) {
	go func() {
		if delay > 0 {
			select {
			case <-o.clock.After(delay):
			case <-o.ctx.Done():
				return
			}
		}
		loaded, err := o.readSubmission(id)
		o.post(o.ctx, func() { o.readAnswered(id, loaded, err) })
	}()
}

// readAnswered handles the result of reading a submission.
func (o *Owner) readAnswered(id tw.SubmissionID, loaded ledger.LoadedSubmission, err error) {
	f := o.fetches[id]
	if err != nil && !errors.Is(err, tw.ErrNotFound) {
		o.log.Warn("submission: not readable, retrying", zap.String("submission", string(id)), logsink.Err(err))
		f.requests, f.next = append(f.requests, f.next...), nil
		o.readAfter(id, flushRetryDelay)
		return
	}
	requests := f.requests
	if f.requests, f.next = f.next, nil; len(f.requests) > 0 {
		o.readAfter(id, 0)
	} else {
		delete(o.fetches, id)
	}
	for _, request := range requests {
		if err == nil {
			loaded.InInbox = request.inInbox
			o.handleFetched(loaded)
		}
		request.then()
	}
}

func (o *Owner) readSubmission(id tw.SubmissionID) (ledger.LoadedSubmission, error) {
	record, err := ledger.FindSubmission(o.ctx, o.kv, id)
	if err != nil {
		return ledger.LoadedSubmission{}, err
	}
	progress, err := ledger.FindProgress(o.ctx, o.kv, record.Pool, id)
	return ledger.LoadedSubmission{ID: id, Record: record, Progress: progress}, err
}
