package cli

import (
	"io"
	"os"

	"greengagequay/internal/explain"
	"greengagequay/internal/fault"
)

// timelineCmd reads log files only and needs no running system.
type timelineCmd struct {
	Request string   `help:"Id of a request." xor:"what" required:""`
	Caller  string   `help:"IP:port of a flow's caller." xor:"what" required:""`
	Backend string   `help:"Id of a backend server." xor:"what" required:""`
	Version string   `help:"Version of a document." xor:"what" required:""`
	Logs    []string `arg:"" help:"Log files of hosts; - reads standard input." type:"path"`
}

func (c *timelineCmd) Run(e *env) error {
	var lines []explain.Line
	for _, name := range c.Logs {
		parsed, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, parsed...)
	}
	query := explain.Query{Request: c.Request, Caller: c.Caller, Backend: c.Backend, Version: c.Version}
	timeline := explain.Timeline(lines, query)
	if len(timeline) == 0 {
		return fault.New(fault.NotFound, "pass the logs of all hosts from that time; hosts drop and count lines over the log budget",
			"none of the %d log lines matches", len(lines))
	}
	return explain.Write(e.out, timeline)
}

func readLog(name string) ([]explain.Line, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, fault.New(fault.NotFound, "give the path of a host's log", "open log: %w", err)
		}
		defer file.Close()
		in = file
	}
	lines, _, err := explain.Parse(in)
	return lines, err
}
