package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/tamarindworks/tamarindworks/internal/delays"
)

const delaysHelp = `Tell from the daemons' logs where the time of submissions went.

Each submission is followed back from its last end: a subtask waited for a worker
(waits), ran (runs), ran far longer than its siblings (slow), had to start again
(lost), or its end was still to be recorded (record). The table has the mean
seconds by the time of acceptance; what took longer than --over is told one by one.

Example: tamarind delays daemons.log --window 2s --over 8s`

func addDelays(app *kingpin.Application) {
	cmd := app.Command("delays", delaysHelp)
	path := cmd.Arg("log", "The logs of all daemons, in any order.").Required().String()
	window := cmd.Flag("window", "Width of a row.").Default("2s").Duration()
	over := cmd.Flag("over", "What took longer is told one by one; 0 for none.").Default("0s").Duration()
	cmd.Action(action(func() error {
		if *window <= 0 {
			return errors.Wrap(errUsage, "--window must be above zero")
		}
		file, err := os.Open(*path)
		if err != nil {
			return errors.Wrap(err, "delays")
		}
		defer func() { _ = file.Close() }() // it was only read
		accounts, err := delays.Read(file)
		if err != nil {
			return err
		}
		return printDelays(accounts, *window, *over)
	}))
}

func printDelays(accounts []delays.Breakdown, window, over time.Duration) error {
	if len(accounts) == 0 {
		fmt.Println("no submission ended in these logs")
		return nil
	}
	begin, all := accounts[0].Accepted, accounts
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "FROM\tENDED\tMEAN\t")
	for _, cause := range delays.Causes {
		fmt.Fprintf(w, "%s\t", cause)
	}
	fmt.Fprintln(w)
	for len(accounts) > 0 {
		from := accounts[0].Accepted.Sub(begin).Truncate(window)
		n := 0
		for n < len(accounts) && accounts[n].Accepted.Sub(begin) < from+window {
			n++
		}
		printDelayRow(w, from, accounts[:n])
		accounts = accounts[n:]
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "delays")
	}
	for i := range all {
		if over > 0 && all[i].Duration > over {
			printBreakdown(&all[i], begin)
		}
	}
	return nil
}

func printBreakdown(a *delays.Breakdown, begin time.Time) {
	fmt.Printf("%s %s accepted %.2f took %.2f:", a.ID, a.Pool, a.Accepted.Sub(begin).Seconds(), a.Duration.Seconds())
	for i := len(a.Segments) - 1; i >= 0; i-- {
		part := a.Segments[i]
		fmt.Printf(" %s %.2f", part.Cause, part.Duration.Seconds())
		if part.Worker != "" {
			fmt.Printf(" (%s on %s)", part.Subtask[len(a.ID)+1:], part.Worker)
		}
	}
	fmt.Println()
}

func printDelayRow(w *tabwriter.Writer, from time.Duration, accounts []delays.Breakdown) {
	var total time.Duration
	sums := map[delays.Cause]time.Duration{}
	for i := range accounts {
		total += accounts[i].Duration
		for cause, took := range accounts[i].ByCause() {
			sums[cause] += took
		}
	}
	n := float64(len(accounts))
	fmt.Fprintf(w, "%s\t%d\t%.2f\t", from, len(accounts), total.Seconds()/n)
	for _, cause := range delays.Causes {
		fmt.Fprintf(w, "%.2f\t", sums[cause].Seconds()/n)
	}
	fmt.Fprintln(w)
}
