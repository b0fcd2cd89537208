package control

import (
	"context"
	"sync"
	"time"

	"greengagequay/internal/rpc"
	"greengagequay/internal/state"
)

// Timeouts and queue size of calls between control hosts.
const (
	deliverTimeout  = time.Second
	snapshotTimeout = 30 * time.Second
	sendQueue       = 256 // envelopes queued per host
)

// Service answers calls from other control hosts over net/rpc. It is
// registered under the name "Log".
type Service struct{ Host *Host }

// Deliver receives messages from another control host.
func (s *Service) Deliver(e Envelope, _ *struct{}) error {
	s.Host.Receive(e)
	return nil
}

// Propose commits a command if this host leads.
func (s *Service) Propose(data []byte, out *state.Result) error {
	ctx, cancel := withDefaultTimeout(context.Background())
	defer cancel()
	result, err := s.Host.ProposeAsLeader(ctx, data)
	*out = result
	return rpc.EncodeError(err)
}

// ReadIndex returns the index that a replica must have applied to be current, if
// this host leads.
func (s *Service) ReadIndex(_ struct{}, out *uint64) error {
	ctx, cancel := withDefaultTimeout(context.Background())
	defer cancel()
	index, err := s.Host.ReadIndexAsLeader(ctx)
	*out = index
	return rpc.EncodeError(err)
}

// Identity returns the identity of this host and its data folder.
func (s *Service) Identity(_ struct{}, out *Identity) error {
	*out = s.Host.Identity()
	return nil
}

// ChangeMember changes a member if this host leads.
func (s *Service) ChangeMember(c MemberChange, out *uint64) error {
	ctx, cancel := withDefaultTimeout(context.Background())
	defer cancel()
	revision, err := s.Host.ChangeMemberAsLeader(ctx, c)
	*out = revision
	return rpc.EncodeError(err)
}

// ChangeAnyMember changes a member, on this host or on the leader.
func (s *Service) ChangeAnyMember(c MemberChange, out *uint64) error {
	revision, err := s.Host.ChangeMember(context.Background(), c)
	*out = revision
	return rpc.EncodeError(err)
}

// Members returns the members as this host knows them.
func (s *Service) Members(_ struct{}, out *[]MemberStatus) error {
	*out = s.Host.LocalMembers()
	return nil
}

// AllMembers returns the members as the leader knows them, or as this host knows
// them if it cannot reach the leader.
func (s *Service) AllMembers(_ struct{}, out *[]MemberStatus) error {
	ctx, cancel := withDefaultTimeout(context.Background())
	defer cancel()
	*out = s.Host.Members(ctx)
	return nil
}

// Backup returns a backup file.
func (s *Service) Backup(_ struct{}, out *[]byte) error {
	data, err := s.Host.Backup(context.Background())
	*out = data
	return rpc.EncodeError(err)
}

// RPCTransport is a Transport over net/rpc. Messages to one host keep their
// order, since each call waits for the one before it. Only envelopes with a
// snapshot are sent independently.
type RPCTransport struct {
	client *rpc.Client
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	queues map[string]chan Envelope
}

// NewRPCTransport returns a transport that calls through the client.
func NewRPCTransport(c *rpc.Client) *RPCTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return &RPCTransport{client: c, ctx: ctx, cancel: cancel, queues: map[string]chan Envelope{}}
}

// Close stops sending.
func (t *RPCTransport) Close() { t.cancel() }

// Send queues messages for the host at addr. It drops them when the queue is
// full.
func (t *RPCTransport) Send(addr string, e Envelope) {
	for _, m := range e.Messages {
		if m.Snapshot != nil { // a snapshot is large and must not delay heartbeats
			go t.deliver(addr, e, snapshotTimeout)
			return
		}
	}
	select {
	case t.queue(addr) <- e:
	default:
	}
}

func (t *RPCTransport) queue(addr string) chan Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[addr]
	if q == nil {
		q = make(chan Envelope, sendQueue)
		t.queues[addr] = q
		go t.drain(addr, q)
	}
	return q
}

func (t *RPCTransport) drain(addr string, q chan Envelope) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case e := <-q:
			for waiting := len(q); waiting > 0; waiting-- {
				e.Messages = append(e.Messages, (<-q).Messages...)
			}
			t.deliver(addr, e, deliverTimeout)
		}
	}
}

func (t *RPCTransport) deliver(addr string, e Envelope, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	_ = t.client.Call(ctx, addr, "Log.Deliver", e, &struct{}{}) // the Raft node resends lost messages
}

// Propose commits a command on the host at addr, if that host leads.
func (t *RPCTransport) Propose(ctx context.Context, addr string, data []byte) (state.Result, error) {
	var result state.Result
	err := t.client.Call(ctx, addr, "Log.Propose", data, &result)
	return result, err
}

// ReadIndex returns the index that a replica must have applied to be current, if
// the host at addr leads.
func (t *RPCTransport) ReadIndex(ctx context.Context, addr string) (uint64, error) {
	var index uint64
	err := t.client.Call(ctx, addr, "Log.ReadIndex", struct{}{}, &index)
	return index, err
}

// Identity returns the identity of the host at addr.
func (t *RPCTransport) Identity(ctx context.Context, addr string) (Identity, error) {
	var id Identity
	err := t.client.Call(ctx, addr, "Log.Identity", struct{}{}, &id)
	return id, err
}

// ChangeMember changes a member on the host at addr, if that host leads.
func (t *RPCTransport) ChangeMember(ctx context.Context, addr string, c MemberChange) (uint64, error) {
	var revision uint64
	err := t.client.Call(ctx, addr, "Log.ChangeMember", c, &revision)
	return revision, err
}

// Members returns the members as the host at addr knows them.
func (t *RPCTransport) Members(ctx context.Context, addr string) ([]MemberStatus, error) {
	var list []MemberStatus
	err := t.client.Call(ctx, addr, "Log.Members", struct{}{}, &list)
	return list, err
}
