package agent

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/ending"
)

const (
	// readBufferSize is the buffer size in bytes for one read of the target's answer: the event of
	// one token is a few hundred bytes, a plain answer a few kilobytes.
	readBufferSize = 16 << 10
	// maxResumes is the maximum number of times a broken stream is resumed at a target that is
	// still running. A third break in one answer indicates a permanent fault.
	maxResumes = 2
	// endTimeout is how long the connection can take to end after the stream's last event. The
	// target is on the same host and has nothing left to send.
	endTimeout = 100 * time.Millisecond
	// replayTimeout bounds the reading of an answer that the engine has kept; half of the time to
	// the deadline bounds it as well. An engine that is slow to send a kept answer would be as slow
	// to answer a new run.
	replayTimeout = 2 * time.Second
)

// copy copies the answer into the log and resumes a broken stream while the target is running.
func (j *job) copy(ctx context.Context, rs *http.Response) callResult {
	body := rs.Body
	tail := &tail{terminator: j.agent.streamTerminator(rs)}
	for try := 0; ; try++ {
		err := j.copyBody(body, tail)
		if j.judgeEnd(rs, tail, err) == ending.Whole {
			j.log.Finish()
			j.readToEnd(body)
			return servedResult
		}
		if err == nil {
			break
		}
		if ended, ok := contextResult(ctx); ok {
			return ended
		}
		if try == maxResumes {
			break
		}
		next := j.resume(ctx, rs, tail.size)
		if next == nil {
			break
		}
		defer next.Close()
		body = next
	}
	return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonShort, run: chestnutstep.RunYes}
}

// judgeEnd decides whether an answer whose body was read up to an error, nil for its end, is whole.
func (j *job) judgeEnd(rs *http.Response, t *tail, err error) ending.Verdict {
	end := ending.End{Framing: ending.Framed, Err: err}
	switch {
	case t.terminator != "":
		end.Framing = ending.Marked
		end.HasMarker = t.isEnded() || err == nil && isFramed(rs) && t.isComplete()
	case !isFramed(rs):
		end.Framing = ending.Unframed
		if err == nil {
			end.Process = j.confirmProcess()
		}
	}
	verdict := ending.Judge(end)
	if verdict == ending.Unproven {
		verdict = j.judgeByProbe()
	}
	return verdict
}

// judgeByProbe decides on an answer that ended before there was a witness, by whether a probe finds another
// process. Without a boot id the next process looks like the one before.
func (j *job) judgeByProbe() ending.Verdict {
	j.agent.health.check(j.agent)
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	if j.agent.health.crashCount != j.crashesAtStart || j.agent.health.bootID == "" {
		return ending.Cut
	}
	return ending.Whole
}

// readToEnd reads the body of a complete answer to its end, as net/http reuses the connection only
// then. An error costs only that connection.
func (j *job) readToEnd(body io.Reader) {
	limit := time.AfterFunc(endTimeout, j.cancelCall)
	defer limit.Stop()
	_, _ = io.Copy(io.Discard, body)
}

// copyBody copies the body into the log, up to the stream's last event or the end of the body.
func (j *job) copyBody(body io.Reader, t *tail) error {
	buf := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			t.add(buf[:n])
			if err := j.log.Append(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) || t.isEnded() {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// resume requests the rest of the stream from an offset, in bytes, and returns nil if the engine
// can't provide it. The engine must have the same boot id: one that has restarted has lost the
// stream.
func (j *job) resume(ctx context.Context, rs *http.Response, offset int64) io.ReadCloser {
	next := j.openStream(ctx, rs.Header.Get(chestnutstep.HeaderBootID), offset)
	if next == nil {
		return nil
	}
	return next.Body
}

// replay serves the answer of an earlier run that the engine still has: a run that finished too
// late for its caller need not be repeated. It returns false unless that answer is complete and
// belongs to this job.
func (j *job) replay(ctx context.Context) bool {
	if !j.mayReplay {
		return false
	}
	remaining := j.deadline.Sub(j.agent.Clock())
	ctx, cancel := context.WithTimeout(ctx, min(remaining/2, replayTimeout))
	defer cancel()
	rs := j.openStream(ctx, j.agent.bootID(), 0)
	if rs == nil {
		return false
	}
	defer rs.Body.Close()
	tail := &tail{terminator: j.agent.streamTerminator(rs)}
	// An error leaves the tail incomplete, which is checked below.
	body, _ := io.ReadAll(io.LimitReader(rs.Body, answer.DefaultMaxBytes))
	tail.add(body)
	if !tail.isEnded() || !j.isLastRun() {
		return false
	}
	h := answerHead(rs)
	j.recordHead(h)
	j.log.SetHead(h)
	if err := j.log.Append(body); err != nil {
		return false
	}
	j.log.Finish()
	return true
}

// isLastRun reports whether no other job has run under the job's id since it started.
func (j *job) isLastRun() bool {
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	return j.agent.isLastRun(j.agent.Clock(), j)
}

// isLastRun reports whether the job, or an earlier job of the same request, was the last to run
// under its id.
func (a *Agent) isLastRun(now time.Time, j *job) bool {
	return a.lastRuns.get(j.offer.Id, now) == j.key
}

// bootID returns the target's last observed boot id.
func (a *Agent) bootID() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.health.bootID
}

// openStream requests the stream of the job's id from an engine, starting at an offset in bytes. It
// returns nil if the target is no engine, has another boot id or no longer has the stream.
func (j *job) openStream(ctx context.Context, bootID string, offset int64) *http.Response {
	if bootID == "" || j.agent.modelKind() != chestnutstep.KindEngine {
		return nil
	}
	q := url.Values{"request": {j.offer.Id}, "offset": {strconv.FormatInt(offset, 10)}}
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, j.agent.URL+"/control/resume?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	next, err := j.agent.sendResume(j.agent.PooledClient, rq)
	if err != nil {
		return nil
	}
	if next.StatusCode != http.StatusOK || next.Header.Get(chestnutstep.HeaderBootID) != bootID || !j.isOwnAnswer(next) {
		next.Body.Close()
		return nil
	}
	return next
}

// cancelOnTarget asks an engine to stop generating an answer that is no longer needed. The place at
// the target is free only once it has stopped.
func (j *job) cancelOnTarget() {
	if j.agent.modelKind() != chestnutstep.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	at := j.agent.URL + "/control/cancel?" + url.Values{"request": {j.offer.Id}}.Encode()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, at, nil)
	if err != nil {
		return
	}
	rs, err := j.agent.PooledClient.Do(rq)
	if err != nil {
		return
	}
	rs.Body.Close()
}
