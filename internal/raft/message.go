package raft

import "time"

// ID identifies a member by its data on disk. A host that loses its disk
// rejoins under a new ID. Zero means no member.
type ID uint64

// EntryType is the kind of content of a log entry.
type EntryType uint8

// The entry types.
const (
	EntryCommand    EntryType = iota // a command, or a no-op if Data is empty
	EntryMembership                  // an encoded Membership
)

// Entry is one log entry.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is the state, besides the log entries, that a member must persist.
type HardState struct {
	Term   uint64
	Vote   ID     // candidate that received this member's vote in Term
	Commit uint64 // index of the last entry known to be committed
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64 // term of the entry at Index
	Membership Membership
	Data       []byte // encoded state after applying Index
}

// MessageType is the kind of a request or response.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend
	MsgAppendResponse
	MsgHeartbeat
	MsgHeartbeatResponse
	MsgSnapshot
	MsgTimeoutNow // asks the receiver to start an election immediately
)

var messageNames = [...]string{
	"", "PreVote", "PreVoteResponse", "Vote", "VoteResponse", "Append",
	"AppendResponse", "Heartbeat", "HeartbeatResponse", "Snapshot", "TimeoutNow",
}

// String returns the name of the message type.
func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return "unknown"
}

// Message is sent from one member to another. It may be lost, delayed,
// duplicated and reordered.
type Message struct {
	Type      MessageType
	From      ID
	To        ID
	Term      uint64
	Index     uint64 // append: entry before Entries; vote and pre-vote: candidate's last entry; append response: matched or rejected entry
	LogTerm   uint64 // term of the entry at Index
	Entries   []Entry
	Commit    uint64 // append: leader's commit index; heartbeat: the same, but at most the receiver's matched index
	Reject    bool
	Hint      uint64        // rejected append: last entry that may match
	HintTerm  uint64        // rejected append: term of the entry at Hint
	Transfer  bool          // vote: the leader requested or started this election
	Round     uint64        // heartbeat: round number, echoed in the response
	Sent      time.Duration // append, heartbeat and snapshot: leader's time, echoed in the response
	QuorumAge time.Duration // heartbeat: time since a quorum last answered the leader
	Snapshot  *Snapshot
}
