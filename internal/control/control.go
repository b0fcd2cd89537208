// Package control implements the control host: it commits changes of settings
// and placements, and new documents, to the replicated log and applies them to
// the replica. The revision of a change is the index of its log entry.
package control

import (
	"context"
	"time"

	"greengagequay/internal/raft"
	"greengagequay/internal/state"
)

// Log commits commands to the replicated log.
type Log interface {
	// Propose commits a command and returns its result once it is durable on a
	// quorum and applied. If no result arrives, the caller may propose the
	// command again.
	Propose(ctx context.Context, c state.Command) (state.Result, error)
	// Leader returns the RPC address of the leader, and whether this host is
	// the leader. The address is empty while no leader is known.
	Leader() (addr string, self bool)
}

// Timeouts and intervals of the replicated log.
const (
	electionTimeout        = time.Second // minimum time without messages from the leader before an election
	heartbeatInterval      = 250 * time.Millisecond
	tickInterval           = 25 * time.Millisecond
	proposeTimeout         = 5 * time.Second // limits calls whose context has no deadline
	forwardTimeout         = time.Second     // limits one forwarded proposal, since the leader may not respond
	retryInterval          = 50 * time.Millisecond
	diskRetryInterval      = time.Second
	bootstrapRetryInterval = 200 * time.Millisecond
)

// Limits of the log on disk and in memory.
const (
	defaultSnapshotEntries = 8192     // entries between two snapshots
	snapshotBytes          = 16 << 20 // bytes of commands between two snapshots
	defaultTrailingEntries = 2048     // entries kept before a snapshot for followers that lag
)

// Action is the kind of a membership change.
type Action string

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
	Matched uint64 // highest index that the leader knows to be on the member's disk
}

// Status describes how current this host's state is.
type Status struct {
	Leader  string        // RPC address, empty if none is known
	Current bool          // see Host.Status
	Age     time.Duration // time since a quorum was last in contact
	Member  bool          // false until this host has joined a log
	Failed  error         // why this host accepts no requests, or nil
}

// Identity identifies a host and its data folder.
type Identity struct {
	ID    raft.ID
	Name  string
	Blank bool // the host has not joined a log yet
}

// Envelope holds messages and the address to which replies are sent.
type Envelope struct {
	Addr     string // RPC address of the sender
	Messages []raft.Message
}

// Transport sends messages and calls to other control hosts.
type Transport interface {
	// Send sends messages, which may be lost. It does not block.
	Send(addr string, e Envelope)
	// Propose commits an encoded command on the host at addr, if that host leads.
	Propose(ctx context.Context, addr string, data []byte) (state.Result, error)
	// ReadIndex returns the index that a replica must have applied to be
	// current. The host at addr must lead.
	ReadIndex(ctx context.Context, addr string) (uint64, error)
	// Identity returns the identity of the host at addr.
	Identity(ctx context.Context, addr string) (Identity, error)
	// ChangeMember changes a member on the host at addr, if that host leads,
	// and returns the revision of the change.
	ChangeMember(ctx context.Context, addr string, c MemberChange) (uint64, error)
	// Members returns the members as the host at addr knows them.
	Members(ctx context.Context, addr string) ([]MemberStatus, error)
}
