package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"greengagequay/internal/fault"
	"greengagequay/internal/soak"
)

// soakCmd starts its own deployment and needs no running system.
type soakCmd struct {
	Quayd  string        `help:"Path of the quayd executable." required:"" type:"existingfile"`
	Folder string        `help:"Folder for settings, data and logs of the runs." required:"" type:"path"`
	Seed   uint64        `help:"First seed." default:"1"`
	Seeds  int           `help:"Number of seeds." default:"1"`
	Length time.Duration `help:"Duration of fault injection for each seed." default:"20s"`
}

// Run runs the seeds one after the other. It removes the folders of the seeds
// without violations.
func (c *soakCmd) Run(e *env) error {
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		folder := filepath.Join(c.Folder, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return fault.New(fault.Invalid, "choose a writable folder", "create folder: %w", err)
		}
		report, err := soak.Run(e.ctx, soak.Config{Quayd: c.Quayd, Folder: folder, Seed: seed, Length: c.Length, Out: e.err})
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "seed %d: %v\n", seed, report)
		for _, v := range report.Violations {
			fmt.Fprintf(e.out, "  %s\n", v)
		}
		if len(report.Violations) > 0 {
			failed++
			continue
		}
		_ = os.RemoveAll(folder) // a folder that remains does no harm
	}
	if failed > 0 {
		return fault.New(fault.Internal, "check the logs in the folders of those seeds", "%d of %d seeds violated a guarantee", failed, c.Seeds)
	}
	return nil
}
