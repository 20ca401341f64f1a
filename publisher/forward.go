package publisher

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// forwardTimeout bounds the wait for the leader's answer. It is shorter than the
// timeout of the node that sent the request.
const forwardTimeout = 1200 * time.Millisecond

// forward sends a request to the leader on behalf of a node that can't reach it.
func (p *Publisher) forward(ctx context.Context, m muxer.Message) reply {
	var f messenger.Forward
	if err := m.Decode(&f); err != nil {
		return reply{err: err}
	}
	if f.Kind != messenger.KindClaim && f.Kind != messenger.KindSuspect && f.Kind != messenger.KindPropose {
		return reply{err: coder.Errorf(coder.BadFrame, "messages of kind %s are not forwarded", f.Kind)}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	got, err := p.callLeader(ctx, &f)
	if err != nil {
		return reply{err: &coder.Error{Code: coder.NotLeader, Run: coder.NotRun, Cause: err}}
	}
	return reply{kind: got.Kind, body: msgpack.RawMessage(got.Body)}
}

func (p *Publisher) callLeader(ctx context.Context, f *messenger.Forward) (muxer.Message, error) {
	leader := p.cfg.Leader()
	if p.cfg.Pool == nil || leader == "" {
		return muxer.Message{}, coder.Errorf(coder.NotLeader, "no leader to pass it on to")
	}
	conn, err := p.cfg.Pool.Get(ctx, leader)
	if err != nil {
		return muxer.Message{}, err
	}
	s, err := conn.Open(f.Kind, msgpack.RawMessage(f.Body))
	if err != nil {
		return muxer.Message{}, err
	}
	defer s.Close()
	return s.Receive(ctx)
}
