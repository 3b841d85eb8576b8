package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// offerTimeout is how long an agent may take to answer an offer. It decides
	// in microseconds; a longer silence is a frozen host or a cut, and the
	// caller's time is better spent at the next target.
	offerTimeout = 500 * time.Millisecond
	// ownerTimeout is the same for the only agent that may have the request: no
	// other target can be asked meanwhile. It gives up an offer whose body has
	// not come for as long.
	ownerTimeout = 2 * time.Second
	// cancelTimeout is how long an agent may take to hear that a caller gave up.
	cancelTimeout = time.Second
)

// link is one stream to an agent.
type link struct {
	stream grpc.BidiStreamingClient[wire.Up, wire.Down]
	target *chestnutstep.Target
	cancel context.CancelFunc
	// openedAt is when the link was asked for.
	openedAt time.Time
	// mu guards the sending side of the stream.
	mu sync.Mutex
}

// openLink starts a stream within a time limit. Its life is not tied to the caller's: a cancel must
// still reach the agent after the caller has gone.
func (e *Entry) openLink(t *chestnutstep.Target, limit time.Duration) (*link, error) {
	conn, err := e.Links.Conn(t.Agent)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{target: t, cancel: cancel, openedAt: e.Clock()}
	timer := time.AfterFunc(limit, cancel)
	l.stream, err = wire.NewAgentClient(conn).Run(ctx)
	if !timer.Stop() {
		return nil, &ErrUnresponsive{Target: t.Name, Timeout: limit}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

// receiveFirst waits for the agent's answer to an offer, for a limited time. The error
// is ErrSilent where that has passed, also if an answer was read right after:
// the stream has been ended by then, and its agent has given the offer up.
func (l *link) receiveFirst(limit time.Duration) (*wire.Down, error) {
	timer := time.AfterFunc(limit, l.cancel)
	down, err := l.stream.Recv()
	if !timer.Stop() {
		return nil, &ErrUnresponsive{Target: l.target.Name, Timeout: limit}
	}
	return down, err
}

// receive waits for the next message, until ctx ends.
func (l *link) receive(ctx context.Context) (*wire.Down, error) {
	stop := context.AfterFunc(ctx, l.sendCancel)
	defer stop()
	return l.stream.Recv()
}

// send is safe beside giveUp, which comes from another goroutine.
func (l *link) send(up *wire.Up) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream.Send(up)
}

// closeWith sends a last word and ends the stream when it has had time to arrive.
func (l *link) closeWith(up *wire.Up) {
	_ = l.send(up)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.stream.CloseSend()
	time.AfterFunc(cancelTimeout, l.cancel)
}

// sendCancel tells the agent that the caller has gone, so that the target stops at
// once, then ends the stream.
func (l *link) sendCancel() {
	l.closeWith(&wire.Up{Kind: &wire.Up_Cancel{Cancel: &wire.Cancel{}}})
}

// sendBody sends the body; an empty one is one empty last piece.
func (l *link) sendBody(body []byte) error {
	for {
		piece := body[:min(len(body), bodyChunkSize)]
		body = body[len(piece):]
		b := &wire.Body{Data: piece, Last: len(body) == 0}
		if err := l.send(&wire.Up{Kind: &wire.Up_Body{Body: b}}); err != nil {
			return err
		}
		if b.Last {
			return nil
		}
	}
}
