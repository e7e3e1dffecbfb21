package daemon

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

// directory follows what operators and workers write into the store.
type directory struct {
	kv       tw.KV
	clock    tw.Clock
	log      *zap.Logger
	operator *member.Watcher
	// workersChanged is called after a change of the list of workers or of the evacuated
	// halls.
	workersChanged func()

	mu sync.Mutex
	// workers follows the list of workers while this daemon owns a pool, else
	// it is nil: every read of it is paid for.
	workers *member.Watcher
	// generation numbers the watchers of the list of workers, so that a former one
	// that is still ending changes nothing any more.
	generation int
	config     *tw.QueueConfig
	waves      map[int64]tw.MaintenanceWave
	// evacuations are the evacuated halls; nil until they are known.
	evacuations *tw.Evacuations
	decoded     map[tw.WorkerID]decodedEntry
	byPool      map[tw.PoolID]map[tw.WorkerID]tw.WorkerEntry
	workersRead bool
	// invalidEntries counts readings of entries that name no worker to use.
	invalidEntries *metrics.Counter
}

// decodedEntry is a worker's entry, decoded once a revision.
type decodedEntry struct {
	revision tw.KVRevision
	entry    tw.WorkerEntry
	// invalid is why the entry names no worker to use; empty if it does.
	invalid string
}

const (
	// operatorWait is how long one watch of the operators' keys waits. A
	// connection on which an answer was lost says nothing any more, so that a
	// short wait bounds how late a configuration can be.
	operatorWait = 1200 * time.Millisecond
	workersWait  = 3 * time.Second
	// workersGap: some tens of workers write their status reports each second.
	workersGap = 250 * time.Millisecond
)

func newDirectory(kv tw.KV, clock tw.Clock, log *zap.Logger, set *metrics.Set, workersChanged func()) *directory {
	d := &directory{
		kv: kv, clock: clock, log: log, workersChanged: workersChanged,
		invalidEntries: set.GetOrCreateCounter("tamarind_worker_entries_set_aside_total"),
		waves:          map[int64]tw.MaintenanceWave{}, decoded: map[tw.WorkerID]decodedEntry{},
	}
	set.GetOrCreateGauge("tamarind_evacuated_halls", d.evacuatedHalls)
	return d
}

// watchOperator begins to follow what operators write. The directory is not used before it.
func (d *directory) watchOperator() {
	d.operator = member.WatcherConfig{
		KV: d.kv, Clock: d.clock, Log: d.log, Prefix: platform.OperatorPrefix, Wait: operatorWait, Changed: d.operatorChanged,
	}.New()
}

func (d *directory) close() {
	d.operator.Close()
	if watcher := d.detachWorkerWatch(); watcher != nil {
		watcher.Close()
	}
}

// watchWorkers begins to follow the list of workers, if it is not followed.
func (d *directory) watchWorkers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workers != nil {
		return
	}
	d.generation++
	round := d.generation
	d.workers = member.WatcherConfig{
		KV: d.kv, Clock: d.clock, Log: d.log, Prefix: platform.WorkerPrefix, Wait: workersWait, Gap: workersGap,
		Changed: func(items map[tw.Key]tw.KVItem, _ tw.KVRevision) { d.updateWorkers(round, items) },
	}.New()
}

// refreshWorkers has the list of workers read anew, if it is followed.
func (d *directory) refreshWorkers() {
	d.mu.Lock()
	watcher := d.workers
	d.mu.Unlock()
	if watcher != nil {
		watcher.Refresh()
	}
}

// detachWorkerWatch stops following the list of workers. It returns the watcher, or
// nil. The caller closes it without holding a lock: Close waits for a change
// that is being taken up, which may need that lock.
func (d *directory) detachWorkerWatch() *member.Watcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	watcher := d.workers
	d.workers, d.workersRead = nil, false
	return watcher
}

// Config is the configuration in force, or nil.
func (d *directory) Config() *tw.QueueConfig {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// version is that of the configuration in force, zero if there is none.
func (d *directory) version() tw.Version {
	if config := d.Config(); config != nil {
		return config.Version
	}
	return 0
}

// pools are the pools of the configuration, and that of the machines' manager.
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

// Waves are the maintenance waves that the operators asked for.
func (d *directory) Waves() []tw.MaintenanceWave {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []tw.MaintenanceWave
	for _, w := range d.waves {
		out = append(out, w)
	}
	return out
}

// workerList is the pool's part of the list of workers; false before the
// list was read.
func (d *directory) workerList(pool tw.PoolID) (run.WorkerList, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.workers == nil {
		return run.WorkerList{}, false
	}
	return run.WorkerList{Workers: d.byPool[pool], StableSince: d.workers.AnsweringSince()}, d.workersRead
}

func (d *directory) operatorChanged(items map[tw.Key]tw.KVItem, at tw.KVRevision) {
	d.applyEvacuations(platform.EvacuationsFromKeys(maps.Keys(items), at), "store")
	for key, item := range items {
		switch {
		case key == platform.QueueConfigKey:
			d.decodeConfig(item.Value)
		case strings.HasPrefix(string(key), string(platform.WavePrefix)):
			d.applyWave(item)
		}
	}
}

// decodeConfig puts the operators' configuration in force if it is newer.
func (d *directory) decodeConfig(value []byte) {
	config, err := platform.DecodeQueueConfig(value)
	if err != nil {
		d.log.Error("config: not readable", logsink.Err(err))
		return
	}
	d.applyConfig(config, "store")
}

// applyConfig puts a configuration in force if it is newer. It never goes back: what
// was answered by a version must not be answered by an older one.
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
	wave, err := platform.DecodeWave(item.Value)
	if err != nil {
		d.log.Error("wave: not readable", zap.String("key", string(item.Key)), logsink.Err(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.waves[wave.Number]; !known {
		d.log.Info("wave: asked for", zap.Int64("wave", wave.Number), zap.Int("machines", len(wave.Machines)),
			zap.Duration("within", wave.Within), zap.Int("at_once", wave.AtOnce))
	}
	d.waves[wave.Number] = wave
}

// decodeEntry reads an entry of the list of workers. One that names no worker to use is set
// aside, and logged when its fault is a new one: its writer may go on writing it.
func (d *directory) decodeEntry(item tw.KVItem, before decodedEntry) decodedEntry {
	entry, err := platform.DecodeWorker(item)
	if err == nil {
		return decodedEntry{revision: item.Revision, entry: entry}
	}
	d.invalidEntries.Inc()
	if err.Error() != before.invalid {
		d.log.Error("worker: entry set aside", zap.String("key", string(item.Key)), logsink.Err(err))
	}
	return decodedEntry{revision: item.Revision, invalid: err.Error()}
}

// updateWorkers takes up the list of workers as the watcher of a round read it.
func (d *directory) updateWorkers(round int, items map[tw.Key]tw.KVItem) {
	d.mu.Lock()
	if d.workers == nil || d.generation != round {
		d.mu.Unlock()
		return
	}
	listed := make(map[tw.WorkerID]decodedEntry, len(items))
	byPool := map[tw.PoolID]map[tw.WorkerID]tw.WorkerEntry{}
	for key, item := range items {
		id := platform.WorkerFromKey(key)
		have, known := d.decoded[id]
		if !known || have.revision != item.Revision {
			have = d.decodeEntry(item, have)
		}
		listed[id] = have
		if have.invalid != "" {
			continue
		}
		pool := byPool[have.entry.Pool]
		if pool == nil {
			pool = map[tw.WorkerID]tw.WorkerEntry{}
			byPool[have.entry.Pool] = pool
		}
		pool[id] = have.entry
	}
	d.decoded, d.byPool, d.workersRead = listed, byPool, true
	d.mu.Unlock()
	d.workersChanged()
}
