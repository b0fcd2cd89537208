package daemon

import (
	"context"
	mathrand "math/rand/v2"

	"greengagequay/internal/control"
	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
	"greengagequay/internal/wal"
)

func (d *Daemon) startControl(ctx context.Context) error {
	if err := d.openLog(); err != nil {
		return err
	}
	if err := d.server.Register("Log", &control.Service{Host: d.controlHost}); err != nil {
		return err
	}
	if err := d.server.Register("Control", &controlService{d: d}); err != nil {
		return err
	}
	d.background.Go(func() { d.runPlacement(ctx) })
	return nil
}

// openLog opens the data folder and runs this host's member of the replicated log
// until closeLog.
func (d *Daemon) openLog() error {
	disk, err := wal.OpenFolder(d.Config.Data)
	if err != nil {
		return err
	}
	var peers []control.Peer
	for _, p := range d.Config.Control {
		peers = append(peers, control.Peer{Name: p.Name, Addr: p.RPC})
	}
	d.transport = control.NewRPCTransport(d.client)
	d.controlHost, err = control.Open(control.Options{
		Name: d.Config.Name, Addr: d.Config.RPC, Peers: peers, Bootstrap: d.Config.Bootstrap,
		Disk: disk, Replica: d.Replica, Transport: d.transport, Clock: d.clock, Log: d.logs.Component("control"), Metrics: d.Metrics,
		Rand:   mathrand.New(mathrand.NewPCG(control.RandomNumber(), control.RandomNumber())),
		Random: control.RandomNumber,
	})
	return err
}

// closeLog stops the member of the replicated log and unlocks the data folder. It does
// nothing on a host that is not a control host.
func (d *Daemon) closeLog() {
	if d.controlHost == nil {
		return
	}
	if err := d.controlHost.Close(); err != nil {
		d.log.Warnf("%v", err)
	}
	d.transport.Close()
}

// controlService serves the RPC service Control to other hosts.
type controlService struct{ d *Daemon }

// Submit commits a change of settings.
func (s *controlService) Submit(c state.Change, out *state.Result) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := s.d.controlHost.Propose(ctx, state.Command{Change: &c})
	*out = result
	return rpc.EncodeError(err)
}
