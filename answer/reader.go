package answer

import (
	"context"
)

// Reader reads a log from an offset. It must be used and closed by a single goroutine. Closing it
// is required because the writer waits for readers that lag behind.
type Reader struct {
	log      *Log
	offset   int64
	headSent bool
}

// NewReader returns a reader at an offset in bytes. It yields the head first and then the bytes
// from the offset. It returns ErrGone if those bytes are no longer kept, or if a finished answer is
// shorter, in which case the requester has bytes of another answer.
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

// Next waits for the next piece. It returns ErrGone or the error of ctx. The final piece is Last or
// Broken.
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

// advance moves the reader's offset and lets the writer continue if this reader was the slowest.
func (r *Reader) advance(n int) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.offset += int64(n)
	r.log.notifyChange()
}

// Close removes the reader from the log. It can be called more than once.
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

// waitContext releases the lock until the next change or the end of ctx.
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

// checkOffset returns ErrGone if the bytes at an offset can no longer be read.
func (l *Log) checkOffset(offset int64) error {
	dropped := offset < l.base || l.evicted
	beyond := l.isEnded() && offset > l.end()
	if dropped || beyond {
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
