// Command casekit plays the cases of the review on the project's own programs.
//
//	casekit CASE RECORD
//
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
)

var errNotRun = errors.New("the case could not run")

var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"memory":    runMemory,
	"foreign":   runForeign,
	"lateleave": runLateLeave,
	"bornback":  runBornBack,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.logf("could not run: %v", err)
		os.Exit(2)
	case broken:
		rec.logf("result: the rule was broken")
		os.Exit(1)
	}
	rec.logf("result: the rule held")
}
