package daemon

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

// directory tracks what operators and workers write into the store.
type directory struct {
	kv              tw.KV
	clock           tw.Clock
	log             *zap.Logger
	operatorWatcher *member.Watcher
	// workersChanged is called after the list of workers or the evacuated halls have
	// changed.
	workersChanged func()

	mu sync.Mutex
	// workersWatcher watches the list of workers while this daemon owns a pool. Otherwise it
	// is nil, as every read of the list has a cost.
	workersWatcher *member.Watcher
	// generation numbers the watchers of the list of workers, so that late changes
	// from a former one are ignored.
	generation int
	config     *tw.QueueConfig
	waves      map[int64]tw.MaintenanceWave
	// operatorRevisions are the revisions of the operators' keys that were applied last. Only the
	// callback of operatorWatcher uses them.
	operatorRevisions map[tw.Key]tw.KVRevision
	// evacuations is nil until the evacuated halls are known.
	evacuations *tw.Evacuations
	// evacuatedSince is when the evacuation of each evacuated hall was learned of.
	evacuatedSince map[tw.HallID]time.Time
	decoded        map[tw.WorkerID]decodedEntry
	byPool         map[tw.PoolID]map[tw.WorkerID]tw.WorkerEntry
	workersRead    bool
	metrics        *metrics.Set
	// invalidEntries counts the worker entries read that can't be used.
	invalidEntries *metrics.Counter
	// unreadableLog limits the log lines of items that can't be used: their writers may change them all
	// the time, and leave any number of them.
	unreadableLog rate.Sometimes
}

// decodedEntry caches the decoding of one revision of a worker's entry.
type decodedEntry struct {
	revision tw.KVRevision
	entry    tw.WorkerEntry
	// invalid is why the entry can't be used; empty if it can.
	invalid string
}

const (
	// operatorWait is the wait of one watch call for the operators' keys. A
	// connection on which a response was lost delivers nothing more, so that a
	// short wait bounds how late a configuration arrives.
	operatorWait = 1200 * time.Millisecond
	// workersWait bounds in the same way how late a daemon learns that a worker is draining:
	// within the time for which the platform counts it as out of contact.
	workersWait = 1200 * time.Millisecond
	// workersGap is the pause after each watch call that returned changes. It limits the
	// rate of reads: some tens of workers write their status reports each second.
	workersGap = 250 * time.Millisecond

	// After the first maxUnreadableLines, one line of an item that can't be used is logged per
	// unreadableLogInterval.
	maxUnreadableLines    = 20
	unreadableLogInterval = time.Second
)

func newDirectory(kv tw.KV, clock tw.Clock, log *zap.Logger, set *metrics.Set, workersChanged func()) *directory {
	d := &directory{
		kv: kv, clock: clock, log: log, workersChanged: workersChanged, metrics: set,
		invalidEntries: set.GetOrCreateCounter("tamarind_worker_entries_set_aside_total"),
		waves:          map[int64]tw.MaintenanceWave{}, decoded: map[tw.WorkerID]decodedEntry{},
		evacuatedSince: map[tw.HallID]time.Time{}, operatorRevisions: map[tw.Key]tw.KVRevision{},
		unreadableLog: rate.Sometimes{First: maxUnreadableLines, Interval: unreadableLogInterval},
	}
	set.GetOrCreateGauge("tamarind_evacuations_revision", d.evacuationsRevision)
	set.GetOrCreateGauge("tamarind_evacuated_halls", d.evacuatedHalls)
	return d
}

// watchOperator starts the watch of the operators' keys. It must be called before the
// directory is used.
func (d *directory) watchOperator() {
	d.operatorWatcher = member.WatcherConfig{
		KV: d.kv, Clock: d.clock, Log: d.log, Metrics: d.metrics, Prefix: platform.OperatorPrefix, Wait: operatorWait, Changed: d.operatorChanged,
	}.New()
}

func (d *directory) close() {
	d.operatorWatcher.Close()
	if watcher := d.detachWorkerWatch(); watcher != nil {
		watcher.Close()
	}
}

// watchWorkers starts the watch of the list of workers unless it is running.
func (d *directory) watchWorkers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workersWatcher != nil {
		return
	}
	d.generation++
	generation := d.generation
	d.workersWatcher = member.WatcherConfig{
		KV: d.kv, Clock: d.clock, Log: d.log, Metrics: d.metrics, Prefix: platform.WorkerPrefix, Wait: workersWait, Gap: workersGap,
		Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) { d.updateWorkers(generation, items) },
	}.New()
}

// refreshWorkers triggers a new read of the list of workers if it is watched.
func (d *directory) refreshWorkers() {
	d.mu.Lock()
	watcher := d.workersWatcher
	d.mu.Unlock()
	if watcher != nil {
		watcher.Refresh()
	}
}

// detachWorkerWatch removes the watcher of the list of workers and returns it, or nil.
// The caller must close it without holding a lock: Close waits for a running callback,
// which may need that lock.
func (d *directory) detachWorkerWatch() *member.Watcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	watcher := d.workersWatcher
	d.workersWatcher, d.workersRead = nil, false
	return watcher
}

// Config returns the configuration in effect, or nil.
func (d *directory) Config() *tw.QueueConfig {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// version returns the version of the configuration in effect, or zero.
func (d *directory) version() tw.Version {
	if config := d.Config(); config != nil {
		return config.Version
	}
	return 0
}

// pools returns the pools of the configuration and the pool of the machine manager.
func (d *directory) pools() []tw.PoolID {
	config := d.Config()
	if config == nil {
		return nil
	}
	out := []tw.PoolID{maintenance.ManagerPool}
	for _, p := range config.Pools {
		out = append(out, p.ID)
	}
	return out
}

// Waves returns the maintenance waves requested by the operators.
func (d *directory) Waves() []tw.MaintenanceWave {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []tw.MaintenanceWave
	for _, w := range d.waves {
		out = append(out, w)
	}
	return out
}

// workerList returns the workers of a pool, or false before the list has been
// read.
func (d *directory) workerList(pool tw.PoolID) (run.WorkerList, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workersWatcher == nil {
		return run.WorkerList{}, false
	}
	return run.WorkerList{Workers: d.byPool[pool], StoreReachableSince: d.workersWatcher.AnsweringSince()}, d.workersRead
}

func (d *directory) operatorChanged(items map[tw.Key]tw.KVItem, at tw.KVRevision) {
	d.applyEvacuations(platform.EvacuationsFromKeys(maps.Keys(items), at), "store")
	for key, item := range items {
		if d.operatorRevisions[key] == item.Revision {
			continue
		}
		d.operatorRevisions[key] = item.Revision
		switch {
		case key == platform.QueueConfigKey:
			d.decodeConfig(item.Value)
		case strings.HasPrefix(string(key), string(platform.WavePrefix)):
			d.applyWave(item)
		}
	}
	maps.DeleteFunc(d.operatorRevisions, func(key tw.Key, _ tw.KVRevision) bool { return items[key].Revision == 0 })
}

// decodeConfig decodes the operators' configuration and applies it if it is newer.
func (d *directory) decodeConfig(value []byte) {
	config, err := platform.DecodeQueueConfig(value)
	if err != nil {
		d.unreadableLog.Do(func() { d.log.Error("config: not readable", logsink.Err(err)) })
		return
	}
	d.applyConfig(config, "store")
}

// applyConfig applies a configuration if it is newer. It never reverts to an older
// version: after a response under one version, none may follow under an older one.
func (d *directory) applyConfig(config *tw.QueueConfig, from string) {
	config.Prepare()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && config.Version <= d.config.Version {
		return
	}
	d.config = config
	d.log.Info("config: in force", zap.Uint64("version", uint64(config.Version)), zap.String("from", from),
		zap.Int("routes", len(config.Routes)), zap.Int("pools", len(config.Pools)),
		zap.Int("organisations", len(config.Organisations)))
}

func (d *directory) applyWave(item tw.KVItem) {
	wave, err := platform.DecodeWave(item)
	if err != nil {
		d.unreadableLog.Do(func() { d.log.Error("wave: not readable", zap.String("key", string(item.Key)), logsink.Err(err)) })
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.waves[wave.Number]; !known {
		d.log.Info("wave: requested", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)),
			zap.Duration("within", wave.TimeLimit), zap.Int("at_once", wave.MaxConcurrent))
	}
	d.waves[wave.Number] = wave
}

// decodeEntry decodes an entry of the list of workers. An invalid entry is ignored, and
// logged only if its error is new, as its writer may keep writing it, and if there are few such lines.
func (d *directory) decodeEntry(item tw.KVItem, before decodedEntry) decodedEntry {
	entry, err := platform.DecodeWorker(item)
	if err == nil {
		return decodedEntry{revision: item.Revision, entry: entry}
	}
	d.invalidEntries.Inc()
	if err.Error() != before.invalid {
		d.unreadableLog.Do(func() {
			d.log.Error("worker: entry set aside", zap.String("key", string(item.Key)), logsink.Err(err),
				zap.Uint64("set_aside", d.invalidEntries.Get()))
		})
	}
	return decodedEntry{revision: item.Revision, invalid: err.Error()}
}

// updateWorkers applies the list of workers as read by the watcher of a generation.
func (d *directory) updateWorkers(generation int, items map[tw.Key]tw.KVItem) {
	d.mu.Lock()
	if d.workersWatcher == nil || d.generation != generation {
		d.mu.Unlock()
		return
	}
	decoded := make(map[tw.WorkerID]decodedEntry, len(items))
	byPool := map[tw.PoolID]map[tw.WorkerID]tw.WorkerEntry{}
	for key, item := range items {
		id := platform.WorkerFromKey(key)
		current, known := d.decoded[id]
		if !known || current.revision != item.Revision {
			current = d.decodeEntry(item, current)
		}
		decoded[id] = current
		if current.invalid != "" {
			continue
		}
		pool := byPool[current.entry.Pool]
		if pool == nil {
			pool = map[tw.WorkerID]tw.WorkerEntry{}
			byPool[current.entry.Pool] = pool
		}
		pool[id] = current.entry
	}
	d.decoded, d.byPool, d.workersRead = decoded, byPool, true
	d.mu.Unlock()
	d.workersChanged()
}
