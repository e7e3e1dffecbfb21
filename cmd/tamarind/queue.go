package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/platform"
)

const (
	queueHelp = `Show the pools and submissions that are recorded in the platform's store.`

	queueStatusHelp = `Show each pool with its owner, whether the owner is alive, and its submissions;
the evacuated halls, since when, what still runs there and why; and the daemons that know of other
evacuations than the store.

Example: tamarind queue status --store 10.200.1.7:8621`

	queueCapsHelp = `Show the share of each organisation's usage cap that each pool has, in units of
1/1,024.

Example: tamarind queue caps --store 10.200.1.7:8621`

	queueSubmissionHelp = `Show the record of a submission in the store: its steps and progress, or how it
ended. See also docs/OPERATIONS.md.

Example: tamarind queue submission 5c0e7a21d94b36f8 --store 10.200.1.7:8621`
)

type (
	// queueStatus is the output of queue status.
	queueStatus struct {
		*ledger.Survey
		// Evacuated lists the data halls in which nothing may be started.
		Evacuated []tw.HallID `json:"evacuated"`
		// Evacuations is what the daemons know of them.
		Evacuations member.EvacuationSurvey `json:"evacuations"`
	}

	// submissionRecord is the output of queue submission.
	submissionRecord struct {
		ID       tw.SubmissionID `json:"id"`
		Record   ledger.Record   `json:"record"`
		Progress ledger.Progress `json:"progress"`
	}
)

func addQueue(app *kingpin.Application, conn *connection) {
	queue := app.Command("queue", queueHelp)
	store := queue.Flag("store", "The platform's metadata store, IP:port.").Envar("TAMARIND_STORE").Required().String()
	output := queue.Flag("output", "text or json.").Default("text").Enum("text", "json")

	status := queue.Command("status", queueStatusHelp)
	status.Action(action(func() error {
		return conn.withStore(*store, func(ctx context.Context, kv tw.KV) error {
			status, err := gatherQueueStatus(ctx, kv)
			if err != nil {
				return err
			}
			if *output == "json" {
				return json.NewEncoder(os.Stdout).Encode(status)
			}
			return printPools(status)
		})
	}))

	caps := queue.Command("caps", queueCapsHelp)
	caps.Action(action(func() error {
		return conn.withStore(*store, func(ctx context.Context, kv tw.KV) error {
			shares, err := ledger.FindShares(ctx, kv)
			if err != nil {
				return err
			}
			if *output == "json" {
				return json.NewEncoder(os.Stdout).Encode(shares)
			}
			return printShares(shares)
		})
	}))

	submission := queue.Command("submission", queueSubmissionHelp)
	id := submission.Arg("id", "16 hex digits.").Required().String()
	submission.Action(action(func() error {
		parsed, valid := platform.ParseSubmissionID(*id)
		if !valid {
			return errors.Wrapf(errUsage, "%q is not an id of 16 hex digits", *id)
		}
		return conn.withStore(*store, func(ctx context.Context, kv tw.KV) error {
			return printSubmission(ctx, kv, parsed)
		})
	}))
}

// surveyTimeout bounds the calls to all daemons, of which many may not answer. Those that were not
// called by then are shown as not reached.
const surveyTimeout = 4 * time.Second

func gatherQueueStatus(ctx context.Context, kv tw.KV) (queueStatus, error) {
	survey, err := ledger.TakeSurvey(ctx, kv)
	if err != nil {
		return queueStatus{}, err
	}
	daemons, err := member.ReadDaemons(ctx, kv)
	if err != nil {
		return queueStatus{}, err
	}
	peers := member.NewPeers(nil)
	defer peers.Close()
	surveyCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	known := member.SurveyEvacuations(surveyCtx, peers, daemons)
	// Read last, so that a daemon that lacks a hall has had the time of the survey to learn of it.
	evacuated, err := platform.ReadEvacuations(ctx, kv)
	if err != nil {
		return queueStatus{}, err
	}
	return queueStatus{Survey: survey, Evacuated: evacuated.Halls, Evacuations: known}, nil
}

// withStore calls do with the platform's store and a context with the timeout.
func (c *connection) withStore(address string, do func(ctx context.Context, kv tw.KV) error) error {
	client := platform.KVConfig{Address: address}.New()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), *c.timeout)
	defer cancel()
	return do(ctx, client)
}

func printPools(s queueStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d daemons live\n", len(s.Daemons))
	fmt.Fprintln(w, "POOL\tOWNER\tALIVE\tFENCE\tOPEN\tSUCCEEDED\tFAILED\tCANCELLED\tINBOX")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Owner.Pool, p.Owner.Daemon, p.OwnerAlive, p.Owner.Fence,
			p.Open, p.Ended[tw.SubmissionSucceeded], p.Ended[tw.SubmissionFailed], p.Ended[tw.SubmissionCancelled], p.Inbox)
	}
	printEvacuations(w, s.Evacuated, s.Evacuations)
	return w.Flush()
}

func printShares(s ledger.Shares) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tFENCE\tORGANISATION\tUNITS")
	for _, pool := range slices.Sorted(maps.Keys(s.Pools)) {
		shares := s.Pools[pool]
		for _, id := range slices.Sorted(maps.Keys(shares.Units)) {
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", pool, shares.Fence, id, shares.Units[id])
		}
	}
	return w.Flush()
}

// printSubmission always prints JSON: a record has too many parts for a table.
func printSubmission(ctx context.Context, kv tw.KV, id tw.SubmissionID) error {
	record, err := ledger.FindSubmission(ctx, kv, id)
	if errors.Is(err, tw.ErrNotFound) {
		return errors.Newf("there is no submission %s, or it ended more than two minutes ago", id)
	}
	if err != nil {
		return err
	}
	progress, err := ledger.FindProgress(ctx, kv, record.Pool, id)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(submissionRecord{ID: id, Record: record, Progress: progress})
}
