package ledger_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
)

// oddRecords are records that would end a daemon that took them as they are, and then each daemon that
// took the pool over after it.
var oddRecords = map[string]struct {
	key  tw.Key
	body string
}{
	"progress, empty repetition":         {key: ledger.ProgressKey(pool, "s2"), body: `{"repetitions":{"0":null}}`},
	"progress, repetition without steps": {key: ledger.ProgressKey(pool, "s2"), body: `{"repetitions":{"0":{}}}`},
	"progress, empty step":               {key: ledger.ProgressKey(pool, "s2"), body: `{"repetitions":{"0":{"steps":{"0":null}}}}`},
	"progress below 0":                   {key: ledger.ProgressKey(pool, "s2"), body: `{"finished":-1}`},
	"progress too deep":                  {key: ledger.ProgressKey(pool, "s2"), body: strings.Repeat("[", 200_000)},
	"progress, number too large":         {key: ledger.ProgressKey(pool, "s2"), body: `{"finished":` + strings.Repeat("9", 100_000) + `}`},
	"step that names a later one":        {key: ledger.SubmissionKey("s2"), body: stored("s2", `[{"count":1,"after":[5]}]`)},
	"step that names one below 0":        {key: ledger.SubmissionKey("s2"), body: stored("s2", `[{"count":1,"after":[-1]}]`)},
	"negative count":                     {key: ledger.SubmissionKey("s2"), body: stored("s2", `[{"count":-1}]`)},
	"count of 19 digits":                 {key: ledger.SubmissionKey("s2"), body: stored("s2", `[{"count":9223372036854775807}]`)},
	"submission of another key":          {key: ledger.SubmissionKey("s2"), body: stored("s1", `[{"count":1}]`)},
	"unknown final state":                {key: ledger.SubmissionKey("s2"), body: `{"pool":"checks","final":"melted"}`},
	"message under another key":          {key: ledger.InboxPrefix(pool) + "x", body: `{"kind":"cancel","id":"s1"}`},
	"message of an unknown kind":         {key: ledger.InboxPrefix(pool) + "s1.other", body: `{"kind":"other","id":"s1"}`},
	"message without an id":              {key: ledger.InboxPrefix(pool) + ".cancel", body: `{"kind":"cancel"}`},
	"message too deep":                   {key: ledger.InboxPrefix(pool) + "s1.cancel", body: strings.Repeat(`{"kind":`, 200_000)},
	"owner, fence of 19 digits":          {key: ledger.OwnerKey(pool), body: `{"pool":"checks","daemon":"x","fence":9223372036854775807}`},
	"owner, fence below 0":               {key: ledger.OwnerKey(pool), body: `{"pool":"checks","daemon":"x","fence":-9223372036854775808}`},
	"owner of another pool":              {key: ledger.OwnerKey(pool), body: `{"pool":"other","daemon":"x","fence":3}`},
	"owner, fence of a million digits":   {key: ledger.OwnerKey(pool), body: `{"fence":` + strings.Repeat("9", 1_000_000) + `}`},
}

// stored returns a stored submission with the given steps.
func stored(id, steps string) string {
	return fmt.Sprintf(`{"pool":"checks","submission":{"id":%q,"policy":{"pool":"checks"},"steps":%s}}`, id, steps)
}

// TestOddRecords checks that the pool of an odd record gets an owner that has the other submissions.
func TestOddRecords(t *testing.T) {
	for name, c := range oddRecords {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &fixture{WithT: NewWithT(t), t: t, ctx: t.Context(), kv: standin.KVConfig{Latency: time.Millisecond}.New()}
				first := b.open("a")
				b.accept(first, "s1")
				b.accept(first, "s2")
				before := first.Fence()
				b.kv.Put(c.key, []byte(c.body))
				second := b.open("b")
				b.Expect(second.Fence()).To(Equal(before + 1))
				loaded, err := second.Load(b.ctx)
				b.Expect(err).NotTo(HaveOccurred())
				readable := map[tw.SubmissionID]bool{}
				for _, l := range loaded {
					readable[l.ID] = true
					b.Expect(l.Progress.Begun()).To(BeFalse())
					l.Progress.Step(0, 0)
					b.Expect(l.CancelInInbox).To(BeFalse())
					if l.Record.Submission != nil {
						b.Expect(l.Record.Submission.Validate()).To(Succeed())
						b.Expect(l.Record.Submission.ID).To(Equal(l.ID))
					}
				}
				b.Expect(readable).To(HaveKey(tw.SubmissionID("s1")))
				odd := strings.HasSuffix(string(c.key), "/s2")
				b.Expect(readable["s2"]).To(Equal(!odd))
				b.accept(second, "s3")
				_, err = ledger.TakeSurvey(b.ctx, b.kv)
				b.Expect(err).NotTo(HaveOccurred())
			})
		})
	}
}

// FuzzDecodeRecords checks that what is decoded can be worked with.
func FuzzDecodeRecords(f *testing.F) {
	for _, c := range oddRecords {
		if len(c.body) < 1000 {
			f.Add([]byte(c.body))
		}
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		record, err := ledger.DecodeRecord(tw.KVItem{Key: ledger.SubmissionKey("s1"), Value: value, Revision: 1})
		if err == nil && record.Submission != nil && len(record.Submission.Steps) > 0 {
			g.Expect(record.Submission.Validate()).To(Succeed())
		}
		if err == nil {
			_, err = json.Marshal(record)
			g.Expect(err).NotTo(HaveOccurred())
		}
		owner, err := ledger.DecodeOwner(tw.KVItem{Key: ledger.OwnerKey(pool), Value: value, Revision: 1})
		if err == nil {
			g.Expect(owner.Fence + 1).To(BeNumerically(">", 0))
		}
		kv := standin.KVConfig{}.New()
		kv.Put(ledger.ProgressKey(pool, "s1"), value)
		if progress, err := ledger.FindProgress(t.Context(), kv, pool, "s1"); err == nil {
			progress.Begun()
			progress.Step(0, 0)
		}
	})
}
