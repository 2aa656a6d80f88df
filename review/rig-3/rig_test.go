// Package rig3 runs one case of the review: the project's scheduler processes on
// stand-ins of the platform, with clients that keep to the users' pages. It is built as
// a test binary, since it uses names of the wire.
package rig3

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// cases are the cases by name. Each returns an error if it couldn't run; broken rules
// are in the record.
var cases = map[string]func(root string, r *record, trouble bool) error{
	"images":   runImages,
	"schedule": runSchedule,
	"holders":  runHolders,
	"budget":   runBudget,
}

func TestMain(*testing.M) { os.Exit(playCase()) }

func playCase() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository, with target/scheduler")
	out := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return 2
	}
	r, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %t", *name, trouble)
	err = play(*root, r, trouble)
	broken := r.violations()
	for _, b := range broken {
		fmt.Println(b)
	}
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		r.add("result: broken, %d times", len(broken))
		return 1
	}
	r.add("result: held")
	return 0
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }
