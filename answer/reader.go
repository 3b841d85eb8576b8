package answer

import (
	"context"
)

// Reader reads a log from an offset on. It is used by one goroutine, and closed by
// it, as the writer waits for links that lag behind.
type Reader struct {
	log      *Log
	offset   int64
	headSent bool
}

// NewReader opens a link at an offset: the head comes first, then the bytes from
// there on. It returns ErrGone when those bytes are no longer kept, or when a
// finished answer is shorter: the asker holds bytes of another answer.
func (l *Log) NewReader(offset int64) (*Reader, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkOffset(offset); err != nil {
		return nil, err
	}
	r := &Reader{log: l, offset: offset}
	l.readers = append(l.readers, r)
	return r, nil
}

// Next waits for the next piece. Its error is ErrGone or that of ctx. Last or
// Broken is the final piece.
func (r *Reader) Next(ctx context.Context) (Piece, error) {
	p, err := r.log.waitNext(ctx, r.offset, r.headSent)
	if err != nil {
		return p, err
	}
	r.headSent = true
	if len(p.Data) > 0 {
		r.advance(len(p.Data))
	}
	return p, nil
}

// advance lets the writer go on when this link was the slowest.
func (r *Reader) advance(n int) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.offset += int64(n)
	r.log.notifyChange()
}

// Close ends the link. It may be called more than once.
func (r *Reader) Close() { r.log.removeReader(r) }

func (l *Log) waitNext(ctx context.Context, offset int64, headSent bool) (Piece, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if err := l.checkOffset(offset); err != nil {
			return Piece{}, err
		}
		if p, ok := l.pieceAt(offset, headSent); ok {
			return p, nil
		}
		if err := l.waitContext(ctx); err != nil {
			return Piece{}, err
		}
	}
}

// waitContext gives the lock up until the next change or the end of ctx.
func (l *Log) waitContext(ctx context.Context) error {
	ch := l.changeSignal()
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// checkOffset returns ErrGone when the bytes at an offset can't come any more.
func (l *Log) checkOffset(offset int64) error {
	late := offset < l.base || l.evicted
	beyond := l.isEnded() && offset > l.end()
	if late || beyond {
		return ErrGone{Offset: offset, FirstKept: l.base, End: l.end()}
	}
	return nil
}

func (l *Log) pieceAt(offset int64, headSent bool) (Piece, bool) {
	if !headSent && l.head != nil {
		return Piece{Head: l.head, Offset: offset}, true
	}
	if at := offset - l.base; at < int64(len(l.buf)) {
		n := min(int64(len(l.buf))-at, maxPiece)
		return Piece{Data: l.buf[at : at+n : at+n], Offset: offset}, true
	}
	if l.last != nil {
		return Piece{Last: l.last, Offset: offset}, true
	}
	if l.broken != nil {
		return Piece{Broken: l.broken, Offset: offset}, true
	}
	return Piece{}, false
}
