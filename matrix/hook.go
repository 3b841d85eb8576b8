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

// middleFrame is the number of the frame of an answer that triggers StepMiddle.
const middleFrame = 3

// hooks stops and delays requests that pass through one agent and its target.
type hooks struct {
	breakpoint *Breakpoint
	target     string
	// acceptDelay delays the accepts of the agent.
	acceptDelay time.Duration
	// joinDelay additionally delays accepts that join an existing run.
	joinDelay time.Duration
	// endDelay delays the end of each answer of the target after its last byte.
	endDelay time.Duration
	// probes counts the requests to the control API of the target, except orders.
	probes atomic.Int64
	// inFlight counts the requests and orders that the target is still handling.
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

// hookedStream intercepts the messages of one request.
type hookedStream struct {
	grpc.ServerStream
	*hooks
	frames atomic.Int32
}

// RecvMsg stops at StepOffer and StepBody before the agent gets the message.
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

// SendMsg stops at StepAccept and StepLast before it sends the message, and at StepFirst,
// StepMiddle and StepLost afterwards.
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

// hookedTarget wraps the handler of a target and stops requests before and after their execution.
type hookedTarget struct {
	http.Handler
	*hooks
	// isNaive is true if the target has no agent. The arrival of a request then triggers
	// StepOffer, StepAccept and StepBody at once.
	isNaive bool
	// holdsAnswer delays the answer until the action has taken effect and StepExecuted has passed.
	holdsAnswer bool
}

// ServeHTTP forwards requests to the wrapped handler. Requests and orders stop at their steps,
// other requests to the control API count as probes.
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
	if t.isNaive && !t.holdsAnswer {
		w = &haltedWriter{ResponseWriter: w, breakpoint: t.breakpoint}
	}
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

// delayEnd flushes the answer and delays its end.
func (t *hookedTarget) delayEnd(w http.ResponseWriter) {
	if t.endDelay == 0 {
		return
	}
	_ = http.NewResponseController(w).Flush()
	time.Sleep(t.endDelay)
}

// readBody reads the complete body, so that a fault can delay a stopped request or lose its
// answer but not truncate the request.
func readBody(r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// haltedWriter sends nothing while the request is stopped at a step: the target would finish its answer before
// the fault, for which the step is within the answer.
type haltedWriter struct {
	http.ResponseWriter
	breakpoint *Breakpoint
}

// Write writes p once the request goes on.
func (w *haltedWriter) Write(p []byte) (int, error) {
	w.breakpoint.Wait()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *haltedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// heldAnswer buffers the body of an answer. Status and headers pass through.
type heldAnswer struct {
	http.ResponseWriter
	body bytes.Buffer
}

// Write buffers p.
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
