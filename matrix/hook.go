package matrix

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep/wire"
)

// middleFrame is the frame of an answer that counts as its middle.
const middleFrame = 3

// hooks stops requests on their way through one agent.
type hooks struct {
	breakpoint *Breakpoint
	target     string
	// acceptDelay keeps the agent's accepts back.
	acceptDelay time.Duration
	// joinDelay keeps those back that join a run.
	joinDelay time.Duration
	// endDelay keeps the end of the target's answers back, behind their last byte.
	endDelay time.Duration
	// probes counts what the agent asked of the target's controls.
	probes atomic.Int64
	// inFlight counts the requests and orders that the target has not seen the end of.
	inFlight atomic.Int64
}

func (h *hooks) stream(srv any, st grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	return next(srv, &hookedStream{ServerStream: st, hooks: h})
}

func (h *hooks) unary(ctx context.Context, rq any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	reply, err := next(ctx, rq)
	if _, ok := reply.(*wire.MintReply); ok && err == nil {
		h.breakpoint.Reach(StepMint, h.target)
	}
	return reply, err
}

// hookedStream sees the messages of one request.
type hookedStream struct {
	grpc.ServerStream
	*hooks
	frames atomic.Int32
}

// RecvMsg stops before the agent gets what came.
func (s *hookedStream) RecvMsg(m any) error {
	if err := s.ServerStream.RecvMsg(m); err != nil {
		return err
	}
	up, _ := m.(*wire.Up)
	if up.GetOffer() != nil {
		s.breakpoint.Reach(StepOffer, s.target)
	}
	if up.GetBody().GetLast() {
		s.breakpoint.Reach(StepBody, s.target)
	}
	return nil
}

// SendMsg stops before an accept or a last frame leaves, and after others.
func (s *hookedStream) SendMsg(m any) error {
	down, _ := m.(*wire.Down)
	if down.GetAccept() != nil {
		time.Sleep(s.acceptDelay)
		if down.GetAccept().Joined {
			time.Sleep(s.joinDelay)
		}
		s.breakpoint.Reach(StepAccept, s.target)
	}
	if down.GetLast() != nil {
		s.breakpoint.Reach(StepLast, s.target)
	}
	err := s.ServerStream.SendMsg(m)
	s.sent(down)
	return err
}

func (s *hookedStream) sent(down *wire.Down) {
	switch {
	case down.GetLast() != nil:
		s.breakpoint.Reach(StepLost, s.target)
	case down.GetFrame() == nil:
		return
	}
	n := s.frames.Add(1)
	if n == 1 {
		s.breakpoint.Reach(StepFirst, s.target)
	}
	if n == middleFrame {
		s.breakpoint.Reach(StepMiddle, s.target)
	}
}

// hookedTarget stops requests at a target before and after they take effect.
type hookedTarget struct {
	http.Handler
	*hooks
	// isNaive says that no agent stands before the target: what would be an
	// offer, an accept and a body is then one step, the request's arrival.
	isNaive bool
	// holdsAnswer says that the answer is held until the action took effect.
	holdsAnswer bool
}

// ServeHTTP passes on what comes; requests and orders stop where they should.
func (t *hookedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	order := r.Method == http.MethodPost && r.URL.Path == "/control/orders"
	if strings.HasPrefix(r.URL.Path, "/control/") && !order {
		t.probes.Add(1)
		t.Handler.ServeHTTP(w, r)
		return
	}
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if order {
		t.order(w, r)
		return
	}
	t.request(w, r)
}

func (t *hookedTarget) order(w http.ResponseWriter, r *http.Request) {
	readBody(r)
	t.breakpoint.Reach(StepOrder, t.target)
	t.Handler.ServeHTTP(w, r)
}

func (t *hookedTarget) request(w http.ResponseWriter, r *http.Request) {
	if t.isNaive {
		readBody(r)
		t.breakpoint.Reach(StepOffer, t.target)
		t.breakpoint.Reach(StepAccept, t.target)
		t.breakpoint.Reach(StepBody, t.target)
	}
	t.breakpoint.Reach(StepStart, t.target)
	if !t.holdsAnswer {
		t.Handler.ServeHTTP(w, r)
		t.delayEnd(w)
		return
	}
	held := &heldAnswer{ResponseWriter: w}
	t.Handler.ServeHTTP(held, r)
	t.breakpoint.Reach(StepExecuted, t.target)
	_, _ = w.Write(held.body.Bytes())
}

// delayEnd sends what the answer has so far and keeps its end back.
func (t *hookedTarget) delayEnd(w http.ResponseWriter) {
	if t.endDelay == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush()
	time.Sleep(t.endDelay)
}

// readBody waits for all of a request: one that is stopped here is late or its
// answer is lost, but it is not cut as well.
func readBody(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// heldAnswer keeps a body back; its status and headers are the target's own.
type heldAnswer struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write keeps the bytes.
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
