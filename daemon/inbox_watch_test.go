package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/platform"
)

// cancelBound is the shortest limit of any deployment on how long after a confirmed cancel an owner
// may still start its work.
const cancelBound = 3 * time.Second

// inboxInterval is the time for which the store may be charged one watch call of an inbox.
const inboxInterval = 1500 * time.Millisecond

// countedCalls counts the calls of a watcher.
type countedCalls struct {
	tw.KV
	watches, ranges atomic.Int64
}

// Watch implements tw.KV.
func (k *countedCalls) Watch(ctx context.Context, prefix tw.Key, after tw.KVRevision, wait time.Duration) ([]tw.KVEvent, tw.KVRevision, error) {
	k.watches.Add(1)
	return k.KV.Watch(ctx, prefix, after, wait)
}

// Range implements tw.KV.
func (k *countedCalls) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	k.ranges.Add(1)
	return k.KV.Range(ctx, prefix)
}

// silentStore is a store of which the open connections can go silent for good, while new ones work.
type silentStore struct {
	kv     *standin.KV
	server *httptest.Server

	mu sync.Mutex
	// silencedAt is when the connections that were open then went silent.
	silencedAt time.Time
	watches    []watchCall
}

// watchCall is a watch call as the store sees it.
type watchCall struct {
	prefix     tw.Key
	from       string // address of the caller
	began      time.Time
	took       time.Duration // zero if it has not ended
	statusCode int
}

type acceptedAtKey struct{}

func newSilentStore() *silentStore {
	s := &silentStore{kv: standin.KVConfig{Latency: time.Millisecond}.New()}
	inner := s.kv.Handler()
	s.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ended := func(int) {}
		if strings.HasSuffix(req.URL.Path, "/kv-watch") {
			ended = s.noteWatch(req)
		}
		recorder := httptest.NewRecorder()
		inner.ServeHTTP(recorder, req)
		ended(recorder.Code)
		if s.isSilent(req) {
			<-req.Context().Done()
			return
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()) // the client may be gone
	}))
	s.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, acceptedAtKey{}, time.Now())
	}
	s.server.Start()
	return s
}

// isSilent reports whether a request came on a silent connection.
func (s *silentStore) isSilent(req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	acceptedAt, _ := req.Context().Value(acceptedAtKey{}).(time.Time)
	return acceptedAt.Before(s.silencedAt)
}

// noteWatch records a watch call. ended records its end.
func (s *silentStore) noteWatch(req *http.Request) (ended func(statusCode int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, began := len(s.watches), time.Now()
	s.watches = append(s.watches, watchCall{prefix: tw.Key(req.URL.Query().Get("pathPrefix")), from: req.RemoteAddr, began: began})
	return func(statusCode int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watches[n].took, s.watches[n].statusCode = time.Since(began), statusCode
	}
}

// watchCount returns the number of watch calls for a prefix so far, and a description of all of them.
func (s *silentStore) watchCount(prefix tw.Key) (count int, all string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watches {
		if w.prefix == prefix {
			count++
		}
		all += fmt.Sprintf("%s %s from %s: status %d after %s\n", w.began.Format(time.StampMilli), w.prefix, w.from, w.statusCode, w.took)
	}
	return count, all
}

func (s *silentStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silencedAt = time.Now()
}

// openIdleConnections makes the client open as many connections as it keeps, so that later calls use
// one of these.
func (s *silentStore) openIdleConnections(t *testing.T, kv *platform.KVClient) {
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _, _ = kv.Range(t.Context(), "other/") })
	}
	calls.Wait()
}

// TestInboxWatchNoticesSilence guards against cancelled work that is started for longer than
// cancelBound: the connections of an owner to the store had gone silent, and it learned too late of a
// confirmed cancel in its inbox.
func TestInboxWatchNoticesSilence(t *testing.T) {
	g := NewWithT(t)
	store := newSilentStore()
	defer store.server.Close()
	kv := platform.KVConfig{Address: strings.TrimPrefix(store.server.URL, "http://")}.New()
	defer kv.Close()
	store.openIdleConnections(t, kv)
	messages := make(chan ledger.InboxRecord, 10)
	w := newInboxWatcher(kv, tw.SystemClock{}, agecheck.Logger(t), "p", func(m ledger.InboxRecord) { messages <- m })
	defer w.Close()
	g.Eventually(w.AnsweringSince, time.Second).ShouldNot(BeZero())
	time.Sleep(100 * time.Millisecond) // the watch has begun
	store.silence()
	_, err := store.kv.Commit(t.Context(), ledger.CancelUnsubmitted("p", "", "s1"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(messages, cancelBound).Should(Receive(Equal(ledger.InboxRecord{Kind: ledger.InboxCancel, ID: "s1"})))
}

// TestInboxWatchInterval is TestInboxWatchCalls on a clock of its own: the watch makes one call for each
// 1.5 s, neither more nor fewer.
func TestInboxWatchInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &countedCalls{KV: standin.KVConfig{Latency: time.Millisecond}.New()}
		w := newInboxWatcher(kv, tw.SystemClock{}, agecheck.Logger(t), "p", func(ledger.InboxRecord) {})
		defer w.Close()
		time.Sleep(30 * time.Second)
		g := NewWithT(t)
		g.Expect(kv.watches.Load()).To(Equal(int64(20)))
		g.Expect(kv.ranges.Load()).To(Equal(int64(1)))
	})
}

// TestInboxWatchCalls bounds what the watch of a pool's inbox costs the store while nothing happens, by
// the requests of the real client in the time that has passed. It does not depend on the size of the
// fleet. Requests for other prefixes are not the watch's: processes of other tests can call the port.
func TestInboxWatchCalls(t *testing.T) {
	g := NewWithT(t)
	store := newSilentStore()
	defer store.server.Close()
	kv := platform.KVConfig{Address: strings.TrimPrefix(store.server.URL, "http://")}.New()
	defer kv.Close()
	pool := tw.PoolID(rand.Text()) // no other process calls for it
	other := newInboxWatcher(kv, tw.SystemClock{}, agecheck.Logger(t), "p", func(ledger.InboxRecord) {})
	defer other.Close()
	began := time.Now()
	w := newInboxWatcher(kv, tw.SystemClock{}, agecheck.Logger(t), pool, func(ledger.InboxRecord) {})
	time.Sleep(2 * inboxInterval)
	w.Close()
	allowed := 1 + int(time.Since(began)/inboxInterval)
	count, all := store.watchCount(ledger.InboxPrefix(pool))
	g.Expect(count).To(BeNumerically("<=", allowed), all)
}
