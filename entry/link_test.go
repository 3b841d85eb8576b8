package entry

import (
	"context"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// lateStream delivers an accept only after its context has ended. This happens when the process
// itself is suspended: the answer and the timeout are then both pending when it resumes.
type lateStream struct {
	grpc.BidiStreamingClient[wire.Up, wire.Down]
	ctx context.Context
}

// Recv implements grpc.BidiStreamingClient.
func (s *lateStream) Recv() (*wire.Down, error) {
	<-s.ctx.Done()
	return &wire.Down{Kind: &wire.Down_Accept{Accept: &wire.Accept{}}}, nil
}

// TestAnswerAfterTimeoutIsUnresponsive guards against an offer that counts as accepted on a link
// that its timeout has already ended: the agent has dropped the offer, and the caller would get
// "unknown" for a request that never ran.
func TestAnswerAfterTimeoutIsUnresponsive(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := &link{target: &chestnutstep.Target{Name: "t"}, cancel: cancel, stream: &lateStream{ctx: ctx}}
	down, err := l.receiveFirst(offerTimeout)
	assert.Assert(t, IsErrUnresponsive(err), "%v %v", down, err)
}
