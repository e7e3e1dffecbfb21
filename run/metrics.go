package run

import (
	"fmt"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/schedule"
)

// ownerMetrics are the counters and histograms of a pool.
type ownerMetrics struct {
	set  *metrics.Set
	pool tw.PoolID
	// counters are those with a label that have been used.
	counters map[counterKey]*metrics.Counter
	accepted *metrics.Counter
	refused  *metrics.Counter
	// busy counts the submissions refused because the owner was overloaded or all halls were
	// evacuated.
	busy  *metrics.Counter
	polls *metrics.Counter
	// copies counts how often orders were sent again because they were not answered.
	copies *metrics.Counter
	// answeredCopies counts the answered orders by the copy that was answered first, beginning
	// with the original; orders without an answer are the first element.
	answeredCopies [maxCopies + 1]*metrics.Counter
	// silentWorkers is the number of workers that do not answer, lostShare the share of orders
	// to the others that get no answer.
	silentWorkers, lostShare *metrics.Gauge
	// ignoredEntries is the number of listed workers that the owner takes for ended.
	ignoredEntries *metrics.Gauge
	// wronglyEnded counts the workers that have answered after they were taken for ended.
	wronglyEnded *metrics.Counter
	// ignoredAnswers counts the answers to polls that were taken for those of another incarnation.
	ignoredAnswers *metrics.Counter
	// disputes counts the entries that contradicted what a worker had answered.
	disputes *metrics.Counter
	// stoppingRuns is the number of runs that were ordered to stop and have not ended, longestStop
	// for how long the first of them has been stopping, in seconds.
	stoppingRuns, longestStop *metrics.Gauge
	// duplicateRuns counts the runs that completed although they had been given up, while another
	// run of their subtask went on.
	duplicateRuns *metrics.Counter
	// capWithheld counts the placement passes in which a cap held work back, once for each
	// organisation.
	capWithheld *metrics.Counter
	// beyondWeight counts the accepted submissions that were beyond their organisations' weights.
	beyondWeight *metrics.Counter
	// waiting are the repetitions with subtasks that wait for workers, by class.
	waiting map[workClass]*metrics.Gauge
	// suspectedRuns counts the runs that may have crashed their workers.
	suspectedRuns *metrics.Counter
	// startDelay is the time from acceptance to the first confirmed start, in seconds.
	startDelay *metrics.Histogram
	endDelay   *metrics.Histogram
	// writeTime is the time of a sequential write to the ledger, in seconds.
	writeTime *metrics.Histogram
	// startQueued is the time from the decision to start to the sending of the order,
	// startAnswer the time from there to its answer, in seconds.
	startQueued *metrics.Histogram
	startAnswer *metrics.Histogram
	// placeTime is the duration of a placement pass, in seconds.
	placeTime *metrics.Histogram
}

// counterKey identifies a counter by its metric and the value of its label.
type counterKey struct{ metric, value string }

func newOwnerMetrics(set *metrics.Set, pool tw.PoolID) *ownerMetrics {
	m := &ownerMetrics{set: set, pool: pool, counters: map[counterKey]*metrics.Counter{}}
	m.accepted = set.GetOrCreateCounter(m.name("submissions_accepted_total"))
	m.refused = set.GetOrCreateCounter(m.name("submissions_refused_total"))
	m.busy = set.GetOrCreateCounter(m.name("submissions_busy_total"))
	m.copies = set.GetOrCreateCounter(m.name("orders_repeated_total"))
	for n := range m.answeredCopies {
		m.answeredCopies[n] = set.GetOrCreateCounter(fmt.Sprintf("tamarind_orders_total{pool=%q,answered_copy=%q}", string(pool), strconv.Itoa(n)))
	}
	m.silentWorkers = set.GetOrCreateGauge(m.name("workers_silent"), nil)
	m.lostShare = set.GetOrCreateGauge(m.name("orders_lost_share"), nil)
	m.ignoredEntries = set.GetOrCreateGauge(m.name("worker_entries_ignored"), nil)
	m.wronglyEnded = set.GetOrCreateCounter(m.name("workers_wrongly_ended_total"))
	m.ignoredAnswers = set.GetOrCreateCounter(m.name("worker_answers_ignored_total"))
	m.disputes = set.GetOrCreateCounter(m.name("worker_entries_contradicted_total"))
	m.stoppingRuns = set.GetOrCreateGauge(m.name("runs_stopping"), nil)
	m.longestStop = set.GetOrCreateGauge(m.name("runs_stopping_seconds"), nil)
	m.polls = set.GetOrCreateCounter(m.name("worker_looks_total"))
	m.suspectedRuns = set.GetOrCreateCounter(m.name("runs_suspected_total"))
	m.capWithheld = set.GetOrCreateCounter(m.name("cap_withheld_total"))
	m.beyondWeight = set.GetOrCreateCounter(m.name("submissions_beyond_weight_total"))
	m.waiting = map[workClass]*metrics.Gauge{}
	for class := classInTime; class < classCount; class++ {
		m.waiting[class] = set.GetOrCreateGauge(fmt.Sprintf("tamarind_work_waiting{pool=%q,class=%q}", string(pool), class), nil)
	}
	m.duplicateRuns = set.GetOrCreateCounter(m.name("runs_doubled_total"))
	m.startDelay = set.GetOrCreateHistogram(m.name("submission_start_seconds"))
	m.endDelay = set.GetOrCreateHistogram(m.name("submission_end_seconds"))
	m.writeTime = set.GetOrCreateHistogram(m.name("ledger_write_seconds"))
	m.startQueued = set.GetOrCreateHistogram(m.name("start_queued_seconds"))
	m.startAnswer = set.GetOrCreateHistogram(m.name("start_answer_seconds"))
	m.placeTime = set.GetOrCreateHistogram(m.name("placement_pass_seconds"))
	return m
}

func (m *ownerMetrics) name(metric string) string {
	return fmt.Sprintf("tamarind_%s{pool=%q}", metric, string(m.pool))
}

// count adds one to a counter with a label. Only the owner's loop may call it.
func (m *ownerMetrics) count(metric, label, value string) { m.add(metric, label, value, 1) }

// add adds n to a counter with a label. Only the owner's loop may call it.
func (m *ownerMetrics) add(metric, label, value string, n int) {
	key := counterKey{metric: metric, value: value}
	counter := m.counters[key]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("tamarind_%s{pool=%q,%s=%q}", metric, string(m.pool), label, value))
		m.counters[key] = counter
	}
	counter.Add(n)
}

// countRefusal counts a refused submission by the reason.
func (m *ownerMetrics) countRefusal(reason schedule.RefusalReason) {
	m.count("submissions_refusals_total", "reason", string(reason))
}

// started counts an order to start by its outcome.
func (m *ownerMetrics) started(outcome string) { m.count("starts_total", "outcome", outcome) }

// endedRun counts the end of a run by its kind.
func (m *ownerMetrics) endedRun(kind tw.EndKind) { m.count("run_ends_total", "kind", string(kind)) }

// stopped counts a stop by its reason.
func (m *ownerMetrics) stopped(reason string) { m.count("stops_total", "reason", reason) }

// endedWorker counts a worker that the owner takes for ended by the reason.
func (m *ownerMetrics) endedWorker(reason string) { m.count("workers_ended_total", "reason", reason) }

// restarted counts the runs that were known on a worker when its next incarnation was noticed: those that
// have ended with the previous one, and those that either may have.
func (m *ownerMetrics) restarted(ended, unclear int) {
	m.add("worker_restart_runs_total", "state", "ended", ended)
	m.add("worker_restart_runs_total", "state", "unclear", unclear)
}

// givenUp counts a run that was removed without a report of its end, by the reason.
func (m *ownerMetrics) givenUp(reason string) { m.count("runs_given_up_total", "reason", reason) }

// cancelRequested counts a cancel that a daemon has passed on, of a submission that is stored or is not yet.
func (m *ownerMetrics) cancelRequested(stored bool) {
	source := "request"
	if !stored {
		source = "request before it was stored"
	}
	m.count("submissions_cancels_total", "source", source)
}

// cancelRead counts a cancel that was found in the inbox.
func (m *ownerMetrics) cancelRead() { m.count("submissions_cancels_total", "source", "inbox") }

// ended counts a submission by its final state.
func (m *ownerMetrics) ended(state tw.SubmissionState) {
	m.count("submissions_ended_total", "state", string(state))
}

// setEvacuatedRuns sets the number of runs that remain in evacuated halls, by reason.
func (m *ownerMetrics) setEvacuatedRuns(remaining map[RemainReason]int) {
	for _, reason := range remainReasons {
		m.set.GetOrCreateGauge(fmt.Sprintf("tamarind_evacuated_runs{pool=%q,reason=%q}", string(m.pool), string(reason)), nil).
			Set(float64(remaining[reason]))
	}
}
