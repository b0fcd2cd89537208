package fleet

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/config"
	"greengagequay/internal/control"
	"greengagequay/internal/eventlog"
	"greengagequay/internal/fault"
	"greengagequay/internal/logs"
	"greengagequay/internal/raft"
	"greengagequay/internal/rpc"
	"greengagequay/internal/wal"
)

// Parameters of the replicated log. A document may have hundreds of routes, so
// few entries are kept in memory.
const (
	raftTick        = 50 * time.Millisecond // each tick wakes the host, even if it is idle
	snapshotEntries = 200                   // number of entries between two snapshots
	trailingEntries = 50                    // number of entries kept before a snapshot, for members that lag slightly
)

// openLog opens the data folder and joins the replicated log.
func (h *ControlHost) openLog() error {
	folder, err := wal.OpenFolder(h.cfg.Data)
	if err != nil {
		return err
	}
	h.openHints(folder)
	ownAddr := logAddr(h.cfg.feedAddr())
	voters, err := h.initialVoters(ownAddr, folder)
	if err != nil {
		return err
	}
	if err := h.listenRPC(ownAddr); err != nil {
		return err
	}
	options, err := h.logOptions(ownAddr, folder, voters)
	if err != nil {
		return err
	}
	if h.host, err = control.Open(options); err != nil {
		h.host, err = h.reopen(options, err)
	}
	if err != nil {
		return err
	}
	if err := h.rpc.Register("Log", &control.Service{Host: h.host}); err != nil {
		return err
	}
	h.done.Go(h.rpc.Serve)
	return nil
}

// listenRPC creates the RPC client and server for calls between control hosts.
func (h *ControlHost) listenRPC(ownAddr string) error {
	listener, err := net.Listen("tcp", ownAddr)
	if err != nil {
		return listenError("internal", err)
	}
	traffic := new(atomic.Int64)
	h.client = rpc.NewClient(traffic, nil)
	h.client.SetDialAddresses(h.cfg.Via)
	h.rpc = rpc.NewServer(listener, traffic)
	return nil
}

// logOptions returns the options with which this host takes part in the replicated
// log. Members are named by their log address, since a new host may take over the
// name of another.
func (h *ControlHost) logOptions(ownAddr string, disk wal.Disk, voters []raft.Member) (control.Options, error) {
	root, err := logs.New(h.log.Output(), config.Log{Level: "info", Format: "json"})
	if err != nil {
		return control.Options{}, err
	}
	return control.Options{
		Name: ownAddr, Addr: ownAddr, Disk: disk, Replica: h.replica, Managed: true, InitialVoters: voters,
		Transport: control.NewRPCTransport(h.client), Clock: clock.Real{}, Metrics: h.metrics,
		Log:    root.Component("log").With("host", h.cfg.Name),
		Rand:   rand.New(rand.NewPCG(control.RandomNumber(), control.RandomNumber())),
		Random: control.RandomNumber,
		Tuning: control.Tuning{
			QuorumReads: true, Tick: raftTick, SnapshotEntries: snapshotEntries, TrailingEntries: trailingEntries,
		},
	}, nil
}

// reopen starts with an empty data folder if the log is damaged. The other
// control hosts handle this like a lost disk: they remove the former member and
// add this host as a new one. The damaged files are kept, because without the
// other hosts they are the only copy of the data.
func (h *ControlHost) reopen(o control.Options, openErr error) (*control.Host, error) {
	if fault.KindOf(openErr) != fault.Corrupt {
		return nil, openErr
	}
	log, err := wal.SetAside(o.Disk)
	if err != nil {
		h.log.Event("damage", "could not set the damaged log aside", eventlog.Fields{"error": openErr.Error(), "cause": err.Error()})
		return nil, err
	}
	h.metrics.Counter("control.logs_set_aside").Inc(1)
	h.log.Event("damage", "moved the damaged log aside; this host joins as a new member", eventlog.Fields{
		"error": openErr.Error(), "prefix": log.Prefix, "files": log.Files, "replaced": log.Replaced,
	})
	o.InitialVoters = nil
	return control.Open(o)
}

// initialVoters returns the voters of a new log if this host is one of them, else
// nil. At the first start of the whole deployment all hosts have the same seeds,
// so each initial voter can start the log without contacting the others. A host that has
// set its log aside was a member before: under the same identity it could vote twice.
func (h *ControlHost) initialVoters(ownAddr string, disk wal.Disk) ([]raft.Member, error) {
	if !h.cfg.FirstStart {
		return nil, nil
	}
	if damaged, err := wal.CountDamaged(disk); err != nil || damaged > 0 {
		return nil, err
	}
	var list []raft.Member
	included := false
	for _, seed := range h.cfg.seedFeedAddrs() {
		addr := logAddr(seed)
		included = included || addr == ownAddr
		list = append(list, raft.Member{ID: initialVoterID(addr), Name: addr, Addr: addr, Voter: true})
	}
	if !included {
		return nil, nil
	}
	return list, nil
}

// initialVoterID returns the ID of an initial voter's data folder. It depends on
// the address only, so that all initial voters know it. It is odd and thus never 0,
// which means no member.
func initialVoterID(addr string) raft.ID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte("founder " + addr)) // a hash never returns an error
	return raft.ID(sum.Sum64() | 1)
}
