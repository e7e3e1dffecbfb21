package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the outcome of a case that could run.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by the name that run.sh gives.
var cases = map[string]func(r *rig) (verdict, error){
	"gang": gangAfterKill, "count": countAfterRouteChange, "reserve": reservedForGang, "deadly": deadlySubtask,
}

func main() { os.Exit(run()) }

func run() int {
	const wanted = 3
	if len(os.Args) != wanted || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	r, err := newRig(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer r.close()
	result, err := cases[os.Args[1]](r)
	if err != nil {
		rec.logf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.logf("verdict: broken %v, %s", result.broken, result.text)
	fmt.Println(result.text)
	if result.broken {
		return exitBroken
	}
	return exitHeld
}
