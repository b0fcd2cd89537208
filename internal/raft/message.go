package raft

import "time"

// ID identifies one member of the log for as long as its disk lives. A host
// that lost its disk comes back with another ID. Zero is no member.
type ID uint64

// EntryType tells what an entry of the log holds.
type EntryType uint8

// The types of entries.
const (
	EntryCommand    EntryType = iota // a command, or nothing if Data is empty
	EntryMembership                  // an encoded Membership
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is what a member must not forget, besides its entries.
type HardState struct {
	Term   uint64
	Vote   ID     // candidate that got the vote in Term
	Commit uint64 // index of the last entry known to be committed
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index      uint64
	Term       uint64 // of the entry at Index
	Membership Membership
	Data       []byte // encoded state after Index
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// The types of messages.
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
	MsgTimeoutNow // asks the receiver to campaign at once
)

var messageNames = [...]string{
	"", "PreVote", "PreVoteResponse", "Vote", "VoteResponse", "Append",
	"AppendResponse", "Heartbeat", "HeartbeatResponse", "Snapshot", "TimeoutNow",
}

// String returns the name of the type.
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
	Index     uint64 // append: entry before Entries; vote: candidate's last entry; response: matched or refused entry
	LogTerm   uint64 // term of the entry at Index
	Entries   []Entry
	Commit    uint64
	Reject    bool
	Hint      uint64 // refused append: the last entry that may match
	HintTerm  uint64
	Transfer  bool          // vote: the leader asked for the campaign
	Round     uint64        // heartbeat: number of the round, echoed in the response
	Sent      time.Duration // append and heartbeat: time of the leader, echoed in the response
	QuorumAge time.Duration // heartbeat: time since a quorum last answered the leader
	Snapshot  *Snapshot
}
