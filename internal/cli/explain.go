package cli

import (
	"io"
	"os"

	"greengagequay/internal/explain"
	"greengagequay/internal/fault"
)

// storyCmd needs no running system.
type storyCmd struct {
	Request string   `help:"Id of a request." xor:"what" required:""`
	Caller  string   `help:"IP:port of a flow's caller." xor:"what" required:""`
	Backend string   `help:"Id of a backend server." xor:"what" required:""`
	Version string   `help:"Version of a document." xor:"what" required:""`
	Logs    []string `arg:"" help:"Logs of hosts; - is the standard input." type:"path"`
}

// Run prints the story.
func (c *storyCmd) Run(e *env) error {
	var lines []explain.Line
	for _, name := range c.Logs {
		found, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	query := explain.Query{Request: c.Request, Caller: c.Caller, Backend: c.Backend, Version: c.Version}
	story := explain.Story(lines, query)
	if len(story) == 0 {
		return fault.New(fault.NotFound, "give the logs of all hosts from that time; lines over the budget are left out and counted",
			"none of %d lines names it", len(lines))
	}
	return explain.Write(e.out, story)
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
