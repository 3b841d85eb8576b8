package agent

import (
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/wire"
)

type stream = grpc.BidiStreamingServer[wire.Up, wire.Down]

// link is the stream between one entry and a job.
type link struct {
	agent  *Agent
	job    *job
	stream stream
	// body is the part of the job's body received on this link.
	body []byte
}

// service implements the gRPC service of an agent. It is a type of its own because the protocol's
// method Run would collide with Agent.Run.
type service struct {
	wire.UnimplementedAgentServer
	*Agent
}

// Service returns the agent's gRPC service.
func (a *Agent) Service() wire.AgentServer {
	a.init()
	return &service{Agent: a}
}

// Run serves one request: its offer, answer, body and frames. Moved messages, which state where a
// request runs, can precede the offer or come without one.
func (s *service) Run(st stream) error {
	for {
		up, err := st.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch k := up.Kind.(type) {
		case *wire.Up_Offer:
			return s.serveOffer(st, k.Offer)
		case *wire.Up_Attach:
			return s.serveAttach(st, k.Attach)
		case *wire.Up_Moved:
			s.recordMoved(k.Moved)
		default:
			return nil
		}
	}
}

func (a *Agent) serveOffer(st stream, o *wire.Offer) error {
	adm := a.admit(o)
	if adm.refuse != nil {
		return a.sendRefusal(st, adm.refuse)
	}
	l := &link{agent: a, job: adm.job, stream: st}
	defer l.close()
	go l.receiveLoop()
	return l.serve(0)
}

func (a *Agent) serveAttach(st stream, at *wire.Attach) error {
	a.mu.Lock()
	j := a.jobs[jobKey(at.Workspace, at.Id)]
	if j != nil {
		j.linkCount++
	}
	a.mu.Unlock()
	if j == nil {
		return st.Send(&wire.Down{Kind: &wire.Down_Refuse{
			Refuse: refusal(chestnutstep.ReasonUnknown, chestnutstep.RunMaybe),
		}})
	}
	l := &link{agent: a, job: j, stream: st}
	defer l.close()
	go l.receiveLoop()
	return l.serve(at.Offset)
}

// serve follows the job to its end: queue, accept and answer from an offset in bytes.
func (l *link) serve(offset int64) error {
	if refused, err := l.awaitStart(); refused || err != nil {
		return err
	}
	accept := &wire.Accept{Target: l.agent.Name, Incarnation: l.agent.Incarnation, Joined: l.agent.hasBody(l.job)}
	if err := l.stream.Send(&wire.Down{Kind: &wire.Down_Accept{Accept: accept}}); err != nil {
		return err
	}
	l.agent.Notify(l.job.newNotice(NoticeSent, ""))
	return l.sendAnswer(offset)
}

// sendRefusal sends a refusal and waits for a Moved message that names the target that runs the
// request instead. The entry closes the stream when it stops trying targets, so the wait needs no
// timeout.
func (a *Agent) sendRefusal(st stream, r *wire.Refuse) error {
	if err := st.Send(&wire.Down{Kind: &wire.Down_Refuse{Refuse: r}}); err != nil {
		return err
	}
	up, err := st.Recv()
	if err != nil {
		return nil
	}
	if m := up.GetMoved(); m != nil {
		a.recordMoved(m)
	}
	return nil
}

// recordMoved records the target that runs a request. A message that names this target removes the
// record.
func (a *Agent) recordMoved(m *wire.Moved) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := jobKey(m.Workspace, m.Id)
	if m.Target == a.Name {
		a.movedTo.remove(key)
	} else {
		a.movedTo.put(key, m.Target, a.Clock())
	}
	a.Notify(Notice{Kind: NoticeMoved, Subject: m.Id, Before: a.Name, After: m.Target})
}

// awaitStart waits until the job leaves the queue; refused reports that it never ran.
func (l *link) awaitStart() (refused bool, err error) {
	select {
	case <-l.job.dequeued:
	default:
		if err := l.stream.Send(&wire.Down{Kind: &wire.Down_Wait{Wait: &wire.Wait{}}}); err != nil {
			return false, err
		}
	}
	select {
	case <-l.job.dequeued:
	case <-l.stream.Context().Done():
		return false, l.stream.Context().Err()
	}
	l.agent.mu.Lock()
	r := l.job.refusal
	l.agent.mu.Unlock()
	if r == nil {
		return false, nil
	}
	return true, l.agent.sendRefusal(l.stream, r)
}

// sendAnswer sends the answer from an offset in bytes to its last frame.
func (l *link) sendAnswer(offset int64) error {
	reader, err := l.job.log.NewReader(offset)
	if err != nil {
		return l.sendAnswerError(err)
	}
	defer reader.Close()
	for {
		p, err := reader.Next(l.stream.Context())
		if err != nil {
			return l.sendAnswerError(err)
		}
		if err := l.stream.Send(pieceMessage(p)); err != nil {
			return err
		}
		if p.Last != nil || p.Broken != nil {
			return nil
		}
	}
}

// pieceMessage converts a piece of an answer to its protocol message.
func pieceMessage(p answer.Piece) *wire.Down {
	switch {
	case p.Head != nil:
		return &wire.Down{Kind: &wire.Down_Head{Head: p.Head}}
	case p.Last != nil:
		return &wire.Down{Kind: &wire.Down_Last{Last: p.Last}}
	case p.Broken != nil:
		return &wire.Down{Kind: &wire.Down_Broken{Broken: p.Broken}}
	}
	return &wire.Down{Kind: &wire.Down_Frame{Frame: &wire.Frame{Offset: p.Offset, Data: p.Data}}}
}

// sendAnswerError reports to the entry that requested bytes are no longer kept: a partial answer
// must never appear complete. Other errors are returned.
func (l *link) sendAnswerError(err error) error {
	if !answer.IsErrGone(err) {
		return err
	}
	return l.stream.Send(&wire.Down{Kind: &wire.Down_Broken{Broken: l.goneMessage()}})
}

// goneMessage returns the final message for a job whose answer is not kept. A job that never ran
// must be reported as "not run": if the caller were informed that it ran, it would not retry.
func (l *link) goneMessage() *wire.Broken {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	if r := l.job.refusal; r != nil {
		return &wire.Broken{Reason: r.Reason, Run: r.Run, Retry: r.Retry}
	}
	if l.job.failure != nil {
		return l.job.failure
	}
	return &wire.Broken{Reason: string(chestnutstep.ReasonGone), Run: string(chestnutstep.RunYes)}
}

// receiveLoop handles the messages of the entry: pieces of the body, cancels and Moved messages. A
// stream that ends without a cancel is a lost link.
func (l *link) receiveLoop() {
	for {
		up, err := l.stream.Recv()
		if err != nil {
			return
		}
		switch k := up.Kind.(type) {
		case *wire.Up_Body:
			l.appendBody(k.Body)
		case *wire.Up_Cancel:
			l.agent.cancelJob(l.job)
		case *wire.Up_Moved:
			l.agent.recordMoved(k.Moved)
		}
	}
}

// close detaches the link. A job that has not run and that no other link follows is withdrawn, as
// its entry disconnected while it waited.
func (l *link) close() {
	a := l.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	l.job.linkCount--
	now := a.Clock()
	l.job.detachedAt = now
	if l.job.linkCount == 0 {
		a.abandonJob(now, l.job)
	}
}

// cancelJob ends a job at once when its caller cancels, unless other links still follow it. Most
// callers that give up send a cancel, and the jobs that they leave behind would otherwise fill the
// target. A non-idempotent request that is running continues, because canceling it would leave its
// outcome unknown.
func (a *Agent) cancelJob(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.linkCount > 1 {
		return
	}
	switch {
	case j.state < jobRunning:
		a.refuseWithReason(a.Clock(), j, chestnutstep.ReasonCanceled)
	case j.state == jobRunning && !j.atMostOnce():
		j.cancelCall()
	}
}
