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

const delaysHelp = `Break down the time of submissions by cause, from the daemons' logs.

Each submission is traced back from its last end: a subtask waited for a worker
(waits), ran (runs), ran far longer than its siblings (slow), had to be restarted
(lost), or its end was not yet recorded (record). The table has the mean seconds
by the time of acceptance; submissions that took longer than --over are also
listed one by one.

Example: tamarind delays daemons.log --window 2s --over 8s`

func addDelays(app *kingpin.Application) {
	cmd := app.Command("delays", delaysHelp)
	path := cmd.Arg("log", "The logs of all daemons, in any order.").Required().String()
	window := cmd.Flag("window", "Width of a row.").Default("2s").Duration()
	over := cmd.Flag("over", "List submissions that took longer; 0 for none.").Default("0s").Duration()
	cmd.Action(action(func() error {
		if *window <= 0 {
			return errors.Wrap(errUsage, "--window must be above zero")
		}
		file, err := os.Open(*path)
		if err != nil {
			return errors.Wrap(err, "delays")
		}
		defer func() { _ = file.Close() }() // opened for reading only
		breakdowns, err := delays.Read(file)
		if err != nil {
			return err
		}
		return printDelays(breakdowns, *window, *over)
	}))
}

func printDelays(breakdowns []delays.Breakdown, window, over time.Duration) error {
	if len(breakdowns) == 0 {
		fmt.Println("no submission ended in these logs")
		return nil
	}
	begin, all := breakdowns[0].Accepted, breakdowns
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "FROM\tENDED\tMEAN\t")
	for _, cause := range delays.Causes {
		fmt.Fprintf(w, "%s\t", cause)
	}
	fmt.Fprintln(w)
	for len(breakdowns) > 0 {
		from := breakdowns[0].Accepted.Sub(begin).Truncate(window)
		n := 0
		for n < len(breakdowns) && breakdowns[n].Accepted.Sub(begin) < from+window {
			n++
		}
		printDelayRow(w, from, breakdowns[:n])
		breakdowns = breakdowns[n:]
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

func printBreakdown(b *delays.Breakdown, begin time.Time) {
	fmt.Printf("%s %s accepted %.2f took %.2f:", b.ID, b.Pool, b.Accepted.Sub(begin).Seconds(), b.Duration.Seconds())
	for i := len(b.Segments) - 1; i >= 0; i-- {
		segment := b.Segments[i]
		fmt.Printf(" %s %.2f", segment.Cause, segment.Duration.Seconds())
		if segment.Worker != "" {
			fmt.Printf(" (%s on %s)", segment.Subtask[len(b.ID)+1:], segment.Worker)
		}
	}
	fmt.Println()
}

func printDelayRow(w *tabwriter.Writer, from time.Duration, breakdowns []delays.Breakdown) {
	var total time.Duration
	sums := map[delays.Cause]time.Duration{}
	for i := range breakdowns {
		total += breakdowns[i].Duration
		for cause, took := range breakdowns[i].ByCause() {
			sums[cause] += took
		}
	}
	n := float64(len(breakdowns))
	fmt.Fprintf(w, "%s\t%d\t%.2f\t", from, len(breakdowns), total.Seconds()/n)
	for _, cause := range delays.Causes {
		fmt.Fprintf(w, "%.2f\t", sums[cause].Seconds()/n)
	}
	fmt.Fprintln(w)
}
