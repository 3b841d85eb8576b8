package entry

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// lateStream has an accept to read once its context has ended, as a process finds that was held up itself: the answer
// and the end of its time limit both wait for it.
type lateStream struct {
	grpc.BidiStreamingClient[wire.Up, wire.Down]
	ctx context.Context
}

// Recv implements grpc.BidiStreamingClient.
func (s *lateStream) Recv() (*wire.Down, error) {
	<-s.ctx.Done()
	return &wire.Down{Kind: &wire.Down_Accept{Accept: &wire.Accept{}}}, nil
}

// TestAnswerAfterTimeoutIsUnresponsive guards against an offer that counts as accepted on a link which its time limit has
// ended: the agent has dropped it, and the caller would get "unknown" for a request that never ran.
func TestAnswerAfterTimeoutIsUnresponsive(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := &link{target: &chestnutstep.Target{Name: "t"}, cancel: cancel, stream: &lateStream{ctx: ctx}}
	down, err := l.receiveFirst(offerTimeout)
	assert.Assert(t, IsErrUnresponsive(err), "%v %v", down, err)
}
