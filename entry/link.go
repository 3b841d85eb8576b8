package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// offerTimeout is the timeout for an agent's answer to an offer. Agents decide within
	// microseconds, so a longer delay means a frozen host or a broken connection, and the next
	// target is a better use of the caller's time.
	offerTimeout = 500 * time.Millisecond
	// ownerTimeout is the same timeout for the only agent that can have the request, as no other
	// target can be asked meanwhile. The agent drops an offer whose body does not arrive within the
	// same time.
	ownerTimeout = 2 * time.Second
	// cancelTimeout is the time for a cancel to reach the agent before the stream is ended.
	cancelTimeout = time.Second
)

// link is one stream to an agent.
type link struct {
	stream grpc.BidiStreamingClient[wire.Up, wire.Down]
	target *chestnutstep.Target
	cancel context.CancelFunc
	// openedAt is when opening the link started.
	openedAt time.Time
	// mu guards sending on the stream.
	mu sync.Mutex
}

// openLink opens a stream to a target's agent and returns ErrUnresponsive if that takes longer than
// limit. The stream is independent of the caller's context: a cancel must still reach the agent
// after the caller has disconnected.
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

// receiveFirst waits up to limit for the agent's answer to an offer. It returns ErrUnresponsive
// once limit has passed, also if an answer is read afterwards: the stream has been canceled by
// then, and the agent has dropped the offer.
func (l *link) receiveFirst(limit time.Duration) (*wire.Down, error) {
	timer := time.AfterFunc(limit, l.cancel)
	down, err := l.stream.Recv()
	if !timer.Stop() {
		return nil, &ErrUnresponsive{Target: l.target.Name, Timeout: limit}
	}
	return down, err
}

// receive waits for the next message. It sends a cancel when ctx ends.
func (l *link) receive(ctx context.Context) (*wire.Down, error) {
	stop := context.AfterFunc(ctx, l.sendCancel)
	defer stop()
	return l.stream.Recv()
}

// send sends a message. It can be called concurrently with sendCancel, which runs in another
// goroutine.
func (l *link) send(up *wire.Up) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream.Send(up)
}

// closeWith sends a last message and ends the stream after cancelTimeout, so that the message can
// arrive.
func (l *link) closeWith(up *wire.Up) {
	_ = l.send(up)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.stream.CloseSend()
	time.AfterFunc(cancelTimeout, l.cancel)
}

// sendCancel notifies the agent that the caller has disconnected, so that the target stops at once,
// and then ends the stream.
func (l *link) sendCancel() {
	l.closeWith(&wire.Up{Kind: &wire.Up_Cancel{Cancel: &wire.Cancel{}}})
}

// sendBody sends the body in pieces; an empty body is sent as one empty last piece.
func (l *link) sendBody(body *memory.Body) error {
	left := body.Len()
	if left == 0 {
		return l.sendPiece(nil, true)
	}
	for _, segment := range body.Segments() {
		for len(segment) > 0 {
			piece := segment[:min(len(segment), bodyChunkSize)]
			segment, left = segment[len(piece):], left-int64(len(piece))
			if err := l.sendPiece(piece, left == 0); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *link) sendPiece(piece []byte, isLast bool) error {
	return l.send(&wire.Up{Kind: &wire.Up_Body{Body: &wire.Body{Data: piece, Last: isLast}}})
}
