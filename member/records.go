package member

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
	"github.com/tamarindworks/tamarindworks/ledger"
)

const (
	// maxCores is above the number of cores of any machine.
	maxCores = 1 << 16
	// After the first maxUnreadableLines, one line of a record that can't be read is logged per
	// unreadableLogInterval.
	maxUnreadableLines    = 20
	unreadableLogInterval = time.Second
)

// applyRecords updates the members from the records in the store.
func (m *Members) applyRecords(items map[tw.Key]tw.KVItem, _ tw.KVRevision) {
	live := make(map[tw.DaemonID]DaemonRecord, len(items))
	records := make(map[tw.Key]cachedRecord, len(items))
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, item := range items {
		have, known := m.records[key]
		if !known || have.revision != item.Revision {
			have = m.readRecord(key, item)
		}
		records[key] = have
		if have.daemon != nil {
			live[have.daemon.Daemon] = *have.daemon
		}
	}
	m.records = records
	m.logLivenessChanges(live)
	m.live = live
	maps.Copy(m.lastKnown, live)
	m.pingedPools, m.hallProbes, m.searchOrder = nil, nil, nil
}

// readRecord decodes a new or changed record. An owner record also updates the owner of its pool.
func (m *Members) readRecord(key tw.Key, item tw.KVItem) cachedRecord {
	out := cachedRecord{revision: item.Revision}
	switch {
	case strings.HasPrefix(string(key), string(ledger.LivePrefix)):
		record, err := decodeDaemonRecord(item)
		if err != nil {
			m.unreadableLog.Do(func() { m.config.Log.Error("member: unreadable record", logsink.Err(err)) })
			return out
		}
		out.daemon = &record
	case strings.HasPrefix(string(key), string(ledger.OwnerPrefix)):
		o, err := ledger.DecodeOwner(item)
		if err != nil {
			m.unreadableLog.Do(func() { m.config.Log.Error("member: unreadable record", logsink.Err(err)) })
			return out
		}
		m.setOwner(o)
	}
	return out
}

func (m *Members) logLivenessChanges(live map[tw.DaemonID]DaemonRecord) {
	for id, record := range live {
		if have, found := m.live[id]; !found || have.Incarnation != record.Incarnation {
			m.config.Log.Info("member: daemon is live", zap.String("daemon", string(id)), zap.Uint64("life", uint64(record.Incarnation)))
		}
	}
	for id := range m.live {
		if _, found := live[id]; !found {
			m.config.Log.Info("member: daemon's record is gone", zap.String("daemon", string(id)))
		}
	}
}

// decodeDaemonRecord decodes the record of a daemon. It fails for one under the key of another daemon,
// whose record it would replace.
func decodeDaemonRecord(item tw.KVItem) (DaemonRecord, error) {
	var record DaemonRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return DaemonRecord{}, errors.Newf("member: %s: %.200s", item.Key, err.Error())
	}
	if record.Daemon == "" || ledger.LiveKey(record.Daemon) != item.Key {
		return DaemonRecord{}, errors.Newf("member: %s: not the key of daemon %.40q", item.Key, string(record.Daemon))
	}
	if record.Cores < 0 || record.Cores > maxCores {
		return DaemonRecord{}, errors.Newf("member: %s: %g cores", item.Key, float64(record.Cores))
	}
	return record, nil
}
