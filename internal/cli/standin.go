package cli

import (
	"fmt"
	"net/netip"

	"greengagequay/internal/standin"
)

type standinCmd struct {
	ID      string         `arg:"" help:"Id of the backend server."`
	Service string         `help:"Service of the backend server." required:""`
	Zone    string         `help:"Availability zone of the backend server." required:""`
	Slots   int            `help:"Number of requests that the backend server runs concurrently." default:"3"`
	Listen  string         `help:"IP address to listen on." default:"127.0.0.1"`
	Address netip.AddrPort `help:"Address of the service; packets for any other address count as misdelivered."`
	Return  netip.AddrPort `help:"UDP address that receives packets sent to callers."`
}

// Run runs a stand-in backend server until it is interrupted.
func (c *standinCmd) Run(e *env) error {
	s, err := standin.Start(standin.Config{
		ID: c.ID, Service: c.Service, Zone: c.Zone, Slots: c.Slots, ListenIP: c.Listen,
		Address: c.Address, Return: c.Return,
		API: func() string { return e.Server },
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(e.err, "backend server %s of service %s is running; press Ctrl-C to stop it\n", c.ID, c.Service)
	<-e.ctx.Done()
	s.Close()
	_, total := s.HTTP.Runs()
	counts := s.Packets.Counts()
	return e.print(counts, "REQUESTS\tPACKETS\tOPEN-FLOWS\tMISDELIVERED",
		[][]any{{total, counts.Packets, counts.Open, counts.Misdelivered}})
}
