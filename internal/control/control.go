// Package control is the control host's role: it commits changes of settings
// and placements to the replicated log and applies them to the replica.
package control

import (
	"context"
	"time"

	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// Log commits commands.
type Log interface {
	// Propose commits a command and returns its result once it is durable on a
	// quorum and applied. A command without an answer may be proposed again.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Leader returns the RPC address of the host that commits, and whether
	// it is this one. The address is empty while none is known.
	Leader() (addr string, self bool)
}

// Times of the replicated log.
const (
	electionTimeout   = time.Second // shortest silence of the leader before an election
	heartbeatInterval = 250 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
	proposeTimeout    = 5 * time.Second // for callers that set no deadline
	forwardTimeout    = time.Second     // for one try at a leader that may have fallen silent
	retryPause        = 50 * time.Millisecond
	diskRetryInterval = time.Second
	foundingPause     = 200 * time.Millisecond
)

// Limits of the log on disk and in memory.
const (
	snapshotEntries = 8192     // entries between two snapshots
	snapshotBytes   = 16 << 20 // bytes of commands between two snapshots
	keptEntries     = 2048     // entries kept behind a snapshot for followers that lag
)

// Action is a change of the members of the log.
type Action string

// The actions.
const (
	Add     Action = "add"     // adds a learner
	Promote Action = "promote" // makes a learner a voter
	Remove  Action = "remove"
)

// MemberChange changes one member of the log.
type MemberChange struct {
	Action Action
	Name   string
	Addr   string // RPC address, for Add
}

// MemberStatus describes one member of the log.
type MemberStatus struct {
	raft.Member
	Leader  bool
	Matched uint64 // last entry on its disk, as far as the leader knows
}

// Status tells how current this host is.
type Status struct {
	Leader  string        // RPC address, empty if none is known
	Current bool          // a quorum was in contact within the election timeout
	Age     time.Duration // since a quorum was last in contact
	Member  bool          // has a part in the log
	Failed  error         // why this host accepts nothing, or nil
}

// Identity is what a host tells about its data folder.
type Identity struct {
	ID    raft.ID
	Name  string
	Blank bool // it has no part in any log yet
}

// Envelope carries messages with the address to which answers go.
type Envelope struct {
	Addr     string // RPC address of the sender
	Messages []raft.Message
}

// Transport carries messages and calls to other control hosts.
type Transport interface {
	// Send sends messages, which may be lost. It does not block.
	Send(addr string, e Envelope)
	// Propose commits an encoded command on the host at addr, if it leads.
	Propose(ctx context.Context, addr string, data []byte) (state.Result, error)
	// ReadIndex returns the index up to which a current state is applied.
	ReadIndex(ctx context.Context, addr string) (uint64, error)
	// Identity asks a host for its identity.
	Identity(ctx context.Context, addr string) (Identity, error)
	// ChangeMember changes a member on the host at addr, if it leads.
	ChangeMember(ctx context.Context, addr string, c MemberChange) (uint64, error)
	// Members asks a host for the members.
	Members(ctx context.Context, addr string) ([]MemberStatus, error)
}
