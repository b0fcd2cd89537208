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

// Parameters of the log. A document may have hundreds of routes, so few entries
// are kept in memory.
const (
	logTick         = 50 * time.Millisecond // each tick wakes the host
	snapshotEntries = 200                   // between two snapshots
	keptEntries     = 50                    // behind a snapshot, for members that lag a little
)

// openLog takes part in the replicated log.
func (h *ControlHost) openLog() error {
	folder, err := wal.OpenFolder(h.cfg.Data)
	if err != nil {
		return err
	}
	h.hint = newHintFile(folder, func(err error) {
		h.log.Event("hint", "could not save the known backend servers", eventlog.Fields{"error": err.Error()})
	})
	own := logAddr(h.cfg.feedAddr())
	if err := h.listenForCalls(own); err != nil {
		return err
	}
	options, err := h.logOptions(own, folder)
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

// listenForCalls prepares the calls between control hosts.
func (h *ControlHost) listenForCalls(own string) error {
	listener, err := net.Listen("tcp", own)
	if err != nil {
		return unavailableAddress("internal", err)
	}
	traffic := new(atomic.Int64)
	h.client = rpc.NewClient(traffic, nil)
	h.client.ReachThrough(h.cfg.Via)
	h.rpc = rpc.NewServer(listener, traffic)
	return nil
}

// logOptions returns how this host takes part in the log. Members are named by
// the address of their part, since a new host may take over the name of another.
func (h *ControlHost) logOptions(own string, disk wal.Disk) (control.Options, error) {
	root, err := logs.New(h.log.Output(), config.Log{Level: "info", Format: "json"})
	if err != nil {
		return control.Options{}, err
	}
	return control.Options{
		Name: own, Addr: own, Disk: disk, Replica: h.replica, Managed: true, InitialVoters: h.founders(own),
		Transport: control.NewRPCTransport(h.client), Clock: clock.Real{}, Metrics: h.metrics,
		Log:    root.Part("log").With("host", h.cfg.Name),
		Rand:   rand.New(rand.NewPCG(control.RandomNumber(), control.RandomNumber())),
		Random: control.RandomNumber,
		Tuning: control.Tuning{
			QuorumReads: true, Tick: logTick, SnapshotEntries: snapshotEntries, TrailingEntries: keptEntries,
		},
	}, nil
}

// reopen starts with an empty data folder if the log is damaged. To the others
// this host then has lost its disk: they remove its former self and take it in
// as a new member. Without them nothing could be made good, so the damaged files
// are kept.
func (h *ControlHost) reopen(o control.Options, damage error) (*control.Host, error) {
	if fault.KindOf(damage) != fault.Corrupt {
		return nil, damage
	}
	h.log.Event("damage", "set the damaged log aside to join as a new member", eventlog.Fields{"error": damage.Error()})
	if err := wal.SetAside(o.Disk); err != nil {
		return nil, err
	}
	o.InitialVoters = nil
	return control.Open(o)
}

// founders returns the voters of a new log if this host is one of them: at the
// first start of the whole deployment all hosts have the same seeds, so each
// founder can start the log on its own.
func (h *ControlHost) founders(own string) []raft.Member {
	if !h.cfg.FirstStart {
		return nil
	}
	var list []raft.Member
	isOne := false
	for _, seed := range h.cfg.seedFeeds() {
		addr := logAddr(seed)
		isOne = isOne || addr == own
		list = append(list, raft.Member{ID: founderID(addr), Name: addr, Addr: addr, Voter: true})
	}
	if !isOne {
		return nil
	}
	return list
}

// founderID returns the identity of a founder's data folder.
func founderID(addr string) raft.ID {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte("founder " + addr)) // a hash takes everything
	return raft.ID(sum.Sum64() | 1)
}
