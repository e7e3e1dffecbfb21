package ledger

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Survey is what the store tells of all pools, for operators.
	Survey struct {
		Pools []PoolSurvey `json:"pools"`
		// Daemons are those with a record that they live.
		Daemons []tw.DaemonID `json:"daemons"`
	}

	// PoolSurvey is what the store tells of one pool.
	PoolSurvey struct {
		Owner Owner `json:"owner"`
		// OwnerAlive tells whether the owner has a record that it lives.
		OwnerAlive bool `json:"lives"`
		// Open counts the submissions that have not ended, Ended the others by
		// their state.
		Open  int                        `json:"open"`
		Ended map[tw.SubmissionState]int `json:"ended"`
		// Inbox counts the messages that the owner has not taken yet.
		Inbox int `json:"inbox"`
	}
)

// TakeSurvey reads the records of all pools. They are read one after the other, so
// that a change meanwhile may show in part.
func TakeSurvey(ctx context.Context, kv tw.KV) (*Survey, error) {
	pools := map[tw.PoolID]*PoolSurvey{}
	at := func(pool tw.PoolID) *PoolSurvey {
		if pools[pool] == nil {
			pools[pool] = &PoolSurvey{Owner: Owner{Pool: pool}, Ended: map[tw.SubmissionState]int{}}
		}
		return pools[pool]
	}
	out := &Survey{}
	if err := surveyMembers(ctx, kv, out, at); err != nil {
		return nil, err
	}
	if err := surveySubmissions(ctx, kv, at); err != nil {
		return nil, err
	}
	for _, p := range pools {
		p.OwnerAlive = slices.Contains(out.Daemons, p.Owner.Daemon)
		out.Pools = append(out.Pools, *p)
	}
	slices.SortFunc(out.Pools, func(a, b PoolSurvey) int { return cmp.Compare(a.Owner.Pool, b.Owner.Pool) })
	slices.Sort(out.Daemons)
	return out, nil
}

func surveyMembers(ctx context.Context, kv tw.KV, out *Survey, at func(tw.PoolID) *PoolSurvey) error {
	members, _, err := kv.Range(ctx, MemberPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.Take: members")
	}
	for _, item := range members {
		if id, live := strings.CutPrefix(string(item.Key), string(LivePrefix)); live {
			out.Daemons = append(out.Daemons, tw.DaemonID(id))
			continue
		}
		owner, err := DecodeOwner(item)
		if err != nil {
			return err
		}
		at(owner.Pool).Owner = owner
	}
	return nil
}

func surveySubmissions(ctx context.Context, kv tw.KV, at func(tw.PoolID) *PoolSurvey) error {
	submissions, _, err := kv.Range(ctx, submissionPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.Take: submissions")
	}
	for _, item := range submissions {
		record, err := DecodeRecord(item)
		if err != nil {
			return err
		}
		if record.Final == "" {
			at(record.Pool).Open++
		} else {
			at(record.Pool).Ended[record.Final]++
		}
	}
	messages, _, err := kv.Range(ctx, inboxPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.Take: inboxes")
	}
	for _, item := range messages {
		pool, _, _ := strings.Cut(strings.TrimPrefix(string(item.Key), string(inboxPrefix)), "/")
		at(tw.PoolID(pool)).Inbox++
	}
	return nil
}
