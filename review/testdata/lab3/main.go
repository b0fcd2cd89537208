// Command lab3 plays one case of the review on real processes: three control hosts with
// proxies between them, and an operator that sends configurations and reads them back.
// It uses the standard library only.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results, as exit codes.
const (
	held    = 0
	broken  = 1
	unknown = 2 // the case could not run
)

func main() {
	name := flag.String("case", "", "name of the case")
	quayd := flag.String("quayd", "target/quayd", "path of the program of the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0: no disruption; final: only the final fault; otherwise all disruptions")
	flag.Parse()
	play, ok := map[string]func(*lab) (int, error){"conflict": playConflict}[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(unknown)
	}
	os.Exit(run(*quayd, *record, *trouble, play))
}

func run(quayd, record, trouble string, play func(*lab) (int, error)) int {
	l, err := newLab(quayd, record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	defer l.close()
	timeout := time.AfterFunc(115*time.Second, func() {
		l.logf("ended after 115 s")
		l.close()
		os.Exit(unknown)
	})
	defer timeout.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(unknown)
	}()
	result, err := play(l)
	if err != nil {
		l.logf("could not run: %v", err)
		return unknown
	}
	l.logf("result %d (0 held, 1 broken)", result)
	return result
}

// logged returns how many lines of the hosts' logs contain text, for the record only.
func (l *lab) logged(text string) []string {
	var found []string
	for _, h := range l.hosts {
		data, _ := os.ReadFile(filepath.Join(l.folder, h.name+".log"))
		for _, line := range lines(data) {
			if contains(line, text) {
				found = append(found, h.name+": "+line)
			}
		}
	}
	return found
}
