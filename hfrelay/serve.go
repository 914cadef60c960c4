package hfrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfstore"
	"github.com/heatherfront/heatherfront/hfwire"
)

// ErrRelayUnsupported reports an instance that does not relay the calls of others.
var ErrRelayUnsupported = eris.New("the instance makes no calls for others")

// ErrUnreadableItem reports an item that the relaying instance could not read.
var ErrUnreadableItem = eris.New("the item cannot be read")

// replyMargin is the number of bytes that are reserved for the envelope of a reply.
const replyMargin = 4 << 10

// Serve makes a call on behalf of another instance, over the direct route only. It refuses
// the call while the direct route of this instance is lost.
func (s *Store) Serve(ctx context.Context, call *hfwire.StoreCall) *hfwire.StoreReply {
	s.incCounter("relay.served")
	if !s.Direct() {
		return &hfwire.StoreReply{Fault: hfwire.StoreReply_REFUSED}
	}
	reply, err := s.callWithinRoom(ctx, call)
	if errors.Is(err, errNoRoom) {
		s.incCounter("relay.full")
		return &hfwire.StoreReply{Fault: hfwire.StoreReply_REFUSED}
	}
	if ctx.Err() == nil {
		s.recordDirect(err)
	}
	if errors.Is(err, hfstore.ErrTooLarge) {
		return &hfwire.StoreReply{Fault: hfwire.StoreReply_REFUSED}
	}
	if err != nil {
		return &hfwire.StoreReply{Fault: encodeError(err)}
	}
	if proto.Size(reply) > hfwire.MaxFrameBytes-replyMargin {
		return &hfwire.StoreReply{Fault: hfwire.StoreReply_REFUSED} // only lists grow so large, and a list has no effect
	}
	return reply
}

// What calls for other instances may take together.
const (
	maxServedCalls   = 32       // that are not watches
	maxServedWatches = 64       // which wait for events
	smallResult      = 16 << 10 // bytes of the result of a call that is made beside others
	// maxLargeResults bounds the results above smallResult, which may be as large as a message.
	maxLargeResults = 1
	// resultCopies is how many times a byte of a result is held until it is in a reply: as it comes from the store, up
	// to twice its length there, and decoded.
	resultCopies = 4

	// ServedBytes is what calls for other instances take at most, without their messages and replies.
	ServedBytes = resultCopies * ((maxServedCalls+maxServedWatches)*smallResult + maxLargeResults*hfwire.MaxFrameBytes)
)

var errNoRoom = eris.New("too many calls for other instances")

// room bounds the calls that are made for other instances at the same time.
type room struct {
	calls, watches, large chan struct{}
}

func newRoom() room {
	return room{
		calls: make(chan struct{}, maxServedCalls), watches: make(chan struct{}, maxServedWatches), large: make(chan struct{}, maxLargeResults),
	}
}

// enter waits for a place, at most as long as the other instance waits for its call, and returns the function that
// frees it.
func enter(ctx context.Context, places chan struct{}) (leave func(), err error) {
	timeout := time.NewTimer(relayTimeout)
	defer timeout.Stop()
	select {
	case places <- struct{}{}:
		return func() { <-places }, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return nil, errNoRoom
}

// callWithinRoom makes a call for another instance. It fails with errNoRoom if it was not made because of too many
// others.
func (s *Store) callWithinRoom(ctx context.Context, call *hfwire.StoreCall) (*hfwire.StoreReply, error) {
	places := s.room.calls
	if call.GetWatch() != nil {
		places = s.room.watches
	}
	if _, list := call.GetKind().(*hfwire.StoreCall_List); !list {
		leave, err := enter(ctx, places)
		if err != nil {
			return nil, err
		}
		reply, err := s.callDirect(hfstore.WithMaxBytes(ctx, smallResult), call)
		leave()
		if !errors.Is(err, hfstore.ErrTooLarge) {
			return reply, err
		}
	}
	leave, err := enter(ctx, s.room.large)
	if err != nil {
		return nil, err
	}
	defer leave()
	return s.callDirect(hfstore.WithMaxBytes(ctx, hfwire.MaxFrameBytes), call)
}

// callDirect makes a call over the direct route. The store client bounds its duration.
func (s *Store) callDirect(ctx context.Context, call *hfwire.StoreCall) (*hfwire.StoreReply, error) {
	r := &hfwire.StoreReply{}
	var err error
	switch k := call.GetKind().(type) {
	case *hfwire.StoreCall_Get:
		var item hfstore.Item
		item, err = s.direct.Get(ctx, k.Get)
		r.Items = encodeItems([]hfstore.Item{item})
	case *hfwire.StoreCall_List:
		var items []hfstore.Item
		items, r.Revision, err = s.direct.List(ctx, k.List)
		r.Items = encodeItems(items)
	case *hfwire.StoreCall_Watch:
		var items []hfstore.Item
		items, r.Revision, err = s.direct.Watch(ctx, k.Watch.GetPrefix(), k.Watch.GetAfter())
		r.Items = encodeItems(items)
	case *hfwire.StoreCall_Commit:
		r.Revision, err = s.direct.Commit(ctx, decodeBatch(k.Commit))
	case *hfwire.StoreCall_Grant:
		r.Lease, err = s.direct.Grant(ctx, time.Duration(k.Grant)*time.Millisecond)
	case *hfwire.StoreCall_Renew:
		err = s.direct.Renew(ctx, k.Renew)
	case *hfwire.StoreCall_Revoke:
		err = s.direct.Revoke(ctx, k.Revoke)
	default:
		return &hfwire.StoreReply{Fault: hfwire.StoreReply_REFUSED}, nil // from an instance of a later version
	}
	if err != nil {
		return nil, fmt.Errorf("for another instance: %w", err)
	}
	return r, nil
}

// errorFaults maps the errors of a store to their values on the wire. An error that wraps
// several of them is encoded as the first match.
var errorFaults = []struct {
	err   error
	fault hfwire.StoreReply_Fault
}{
	{hfstore.ErrLeaseLost, hfwire.StoreReply_LEASE_LOST},
	{hfstore.ErrNotFound, hfwire.StoreReply_NOT_FOUND},
	{hfstore.ErrConflict, hfwire.StoreReply_CONFLICT},
	{hfstore.ErrCompacted, hfwire.StoreReply_COMPACTED},
	{hfstore.ErrInvalid, hfwire.StoreReply_INVALID},
	{hfstore.ErrRefused, hfwire.StoreReply_REFUSED},
	{hfstore.ErrUnavailable, hfwire.StoreReply_UNAVAILABLE},
}

func encodeError(err error) hfwire.StoreReply_Fault {
	for _, f := range errorFaults {
		if errors.Is(err, f.err) {
			return f.fault
		}
	}
	return hfwire.StoreReply_UNAVAILABLE
}

func decodeFault(f hfwire.StoreReply_Fault) error {
	if f == hfwire.StoreReply_NONE {
		return nil
	}
	for _, o := range errorFaults {
		if o.fault == f {
			return o.err
		}
	}
	return hfstore.ErrUnavailable
}

// unreadableVersion marks an item on the wire that the relaying instance could not read. Its
// value is the reason.
const unreadableVersion = -1

func decodeItem(i *hfwire.StoreItem) hfstore.Item {
	if i.GetVersion() == unreadableVersion {
		return hfstore.NewUnreadableItem(i.GetKey(), 0, fmt.Errorf("%w: %s", ErrUnreadableItem, i.GetValue()))
	}
	return hfstore.NewItem(i.GetKey(), i.GetValue(), i.GetVersion(), i.GetDeleted())
}

func decodeList(r *hfwire.StoreReply) listResult {
	result := listResult{revision: r.GetRevision()}
	for _, i := range r.GetItems() {
		result.items = append(result.items, decodeItem(i))
	}
	return result
}

func encodeItems(items []hfstore.Item) []*hfwire.StoreItem {
	list := make([]*hfwire.StoreItem, 0, len(items))
	for _, i := range items {
		if err := i.Err(); err != nil {
			list = append(list, &hfwire.StoreItem{Key: i.Key(), Value: []byte(err.Error()), Version: unreadableVersion})
			continue
		}
		list = append(list, &hfwire.StoreItem{Key: i.Key(), Value: i.Value(), Version: i.Version(), Deleted: i.Deleted()})
	}
	return list
}

func encodeBatch(b *hfstore.Batch) *hfwire.StoreBatch {
	m := &hfwire.StoreBatch{Removals: b.Removals()}
	for _, c := range b.Conditions() {
		m.Conditions = append(m.Conditions, &hfwire.Condition{Key: c.Key(), Version: c.Version()})
	}
	for _, w := range b.Writes() {
		m.Writes = append(m.Writes, &hfwire.StoreWrite{Key: w.Key(), Value: w.Value(), Lease: w.Lease()})
	}
	return m
}

func decodeBatch(m *hfwire.StoreBatch) *hfstore.Batch {
	b := &hfstore.Batch{}
	for _, c := range m.GetConditions() {
		b.Require(c.GetKey(), c.GetVersion())
	}
	for _, w := range m.GetWrites() {
		b.Put(w.GetKey(), w.GetValue(), w.GetLease())
	}
	for _, key := range m.GetRemovals() {
		b.Remove(key)
	}
	return b
}
