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
	// Survey is an overview of all pools for operators, read from the store.
	Survey struct {
		Pools []PoolSurvey `json:"pools"`
		// Daemons lists the daemons that have a liveness record.
		Daemons []tw.DaemonID `json:"daemons"`
	}

	// PoolSurvey is the overview of one pool.
	PoolSurvey struct {
		Owner Owner `json:"owner"`
		// OwnerAlive reports whether the owner has a liveness record.
		OwnerAlive bool `json:"lives"`
		// Open counts the submissions that have not ended, Ended the others by
		// final state.
		Open  int                        `json:"open"`
		Ended map[tw.SubmissionState]int `json:"ended"`
		// Inbox counts the messages that the owner has not processed yet.
		Inbox int `json:"inbox"`
	}
)

// TakeSurvey reads the records of all pools, without those that are unreadable. It takes no snapshot:
// a concurrent change may be visible in part.
func TakeSurvey(ctx context.Context, kv tw.KV) (*Survey, error) {
	pools := map[tw.PoolID]*PoolSurvey{}
	surveyOf := func(pool tw.PoolID) *PoolSurvey {
		if pools[pool] == nil {
			pools[pool] = &PoolSurvey{Owner: Owner{Pool: pool}, Ended: map[tw.SubmissionState]int{}}
		}
		return pools[pool]
	}
	out := &Survey{}
	if err := surveyMembers(ctx, kv, out, surveyOf); err != nil {
		return nil, err
	}
	if err := surveySubmissions(ctx, kv, surveyOf); err != nil {
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

func surveyMembers(ctx context.Context, kv tw.KV, out *Survey, surveyOf func(tw.PoolID) *PoolSurvey) error {
	members, _, err := kv.Range(ctx, MemberPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.TakeSurvey: members")
	}
	for _, item := range members {
		if id, live := strings.CutPrefix(string(item.Key), string(LivePrefix)); live {
			out.Daemons = append(out.Daemons, tw.DaemonID(id))
			continue
		}
		if owner, err := DecodeOwner(item); err == nil {
			surveyOf(owner.Pool).Owner = owner
		}
	}
	return nil
}

func surveySubmissions(ctx context.Context, kv tw.KV, surveyOf func(tw.PoolID) *PoolSurvey) error {
	submissions, _, err := kv.Range(ctx, submissionPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.TakeSurvey: submissions")
	}
	for _, item := range submissions {
		record, err := DecodeRecord(item)
		if err != nil {
			continue
		}
		switch {
		case record.Unsubmitted:
		case record.Final == "":
			surveyOf(record.Pool).Open++
		default:
			surveyOf(record.Pool).Ended[record.Final]++
		}
	}
	messages, _, err := kv.Range(ctx, inboxPrefix)
	if err != nil {
		return errors.Wrap(err, "ledger.TakeSurvey: inboxes")
	}
	for _, item := range messages {
		pool, _, _ := strings.Cut(strings.TrimPrefix(string(item.Key), string(inboxPrefix)), "/")
		surveyOf(tw.PoolID(pool)).Inbox++
	}
	return nil
}
