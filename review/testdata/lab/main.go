// Command lab runs one case of the review against the project's own programs, which it
// starts as processes on loopback addresses. It exits with 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// A reviewCase reports whether its rule held. Without trouble it does the same without
// the disruption.
type reviewCase func(l *lab, trouble bool) (held bool, err error)

var cases = map[string]reviewCase{
	"late-departure":  lateDeparture,
	"missing-field":   missingField,
	"unnamed-service": unnamedService,
	"unreadable":      unreadableBytes,
	"unreadable-put":  unreadableConfiguration,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE QUAYD RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run runs a case and returns the exit status.
func run(name, quayd, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	l, err := newLab(quayd, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		l.close()
		os.Exit(exitNotRun)
	}()
	held, err := cases[name](l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitNotRun
	case !held:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
