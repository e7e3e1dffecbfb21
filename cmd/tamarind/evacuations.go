package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

// printEvacuations prints the halls that are evacuated in the store or according to an owner, what
// runs there, and how far the daemons have learned of them.
func printEvacuations(w io.Writer, evacuated []tw.HallID, known member.EvacuationSurvey) {
	for _, hall := range evacuated {
		since := "no daemon that answers knows of it"
		if at, found := known.Since[hall]; found {
			since = fmt.Sprintf("known since %s (%s)", at.Format(time.RFC3339), time.Since(at).Round(time.Second))
		}
		fmt.Fprintf(w, "\nhall %s is evacuated, %s\n", hall, since)
	}
	printRemaining(w, known.Pools)
	printDaemons(w, evacuated, known.Daemons)
}

func printRemaining(w io.Writer, pools []run.EvacuationReport) {
	heading := "HALL\tPOOL\tWORKERS\tUNKNOWN\tSTILL RUNNING\n"
	for _, p := range pools {
		if p.Revision == 0 {
			fmt.Fprintf(w, "pool %s starts nothing: its owner knows no evacuations yet\n", p.Pool)
		}
		for _, hall := range p.Halls {
			fmt.Fprint(w, heading)
			heading = ""
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", hall.Hall, p.Pool, hall.Workers, hall.Unknown, describeRemaining(hall.Remaining))
		}
	}
}

// describeRemaining returns the number of runs that remain and why.
func describeRemaining(remaining map[run.RemainReason]int) string {
	if len(remaining) == 0 {
		return "nothing"
	}
	total := 0
	var reasons []string
	for _, reason := range slices.Sorted(maps.Keys(remaining)) {
		total += remaining[reason]
		reasons = append(reasons, fmt.Sprintf("%d %s", remaining[reason], reason))
	}
	return fmt.Sprintf("%d: %s", total, strings.Join(reasons, ", "))
}

// printDaemons prints how far each daemon has learned of the evacuations: all daemons while a hall
// is evacuated, otherwise those that still know of one or do not answer.
func printDaemons(w io.Writer, evacuated []tw.HallID, daemons []member.DaemonEvacuations) {
	heading := "DAEMON\tREVISION\tKNOWN TO BE EVACUATED\n"
	for _, d := range daemons {
		upToDate := d.Reached && d.Known != nil && slices.Equal(d.Known.Halls, evacuated)
		if upToDate && len(evacuated) == 0 {
			continue
		}
		fmt.Fprint(w, heading)
		heading = ""
		fmt.Fprintf(w, "%s\t%s\n", d.Daemon, describeKnown(d, upToDate))
	}
}

// describeKnown returns the revision and the halls that a daemon knows.
func describeKnown(d member.DaemonEvacuations, upToDate bool) string {
	note := " (BEHIND)"
	switch {
	case upToDate:
		note = ""
	case !d.Reached && d.Age > 0:
		note = fmt.Sprintf(" (NOT REACHED, told a peer %s ago)", d.Age.Round(time.Millisecond))
	case !d.Reached:
		note = " (NOT REACHED)"
	}
	if d.Known == nil {
		return "-\tnot known" + note
	}
	halls := "none"
	if d.Known.Any() {
		halls = fmt.Sprint(d.Known.Halls)
	}
	return fmt.Sprintf("%d\t%s%s", d.Known.Revision, halls, note)
}
