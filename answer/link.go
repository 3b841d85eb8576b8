package answer

import (
	"context"
)

// Link reads a log from an offset on. It is used by one goroutine, and closed by
// it, as the writer waits for links that lag behind.
type Link struct {
	log    *Log
	offset int64
	headed bool
}

// Attach opens a link at an offset: the head comes first, then the bytes from
// there on. It returns ErrGone when those bytes are no longer kept, or when a
// finished answer is shorter: the asker holds bytes of another answer.
func (l *Log) Attach(offset int64) (*Link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.missing(offset); err != nil {
		return nil, err
	}
	k := &Link{log: l, offset: offset}
	l.links = append(l.links, k)
	return k, nil
}

// Next waits for the next piece. Its error is ErrGone or that of ctx. Last or
// Broken is the final piece.
func (k *Link) Next(ctx context.Context) (Piece, error) {
	p, err := k.log.next(ctx, k.offset, k.headed)
	if err != nil {
		return p, err
	}
	k.headed = true
	if len(p.Data) > 0 {
		k.advance(len(p.Data))
	}
	return p, nil
}

// advance lets the writer go on when this link was the slowest.
func (k *Link) advance(n int) {
	k.log.mu.Lock()
	defer k.log.mu.Unlock()
	k.offset += int64(n)
	k.log.wake()
}

// Close ends the link. It may be called more than once.
func (k *Link) Close() { k.log.detach(k) }

func (l *Log) next(ctx context.Context, offset int64, headed bool) (Piece, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if err := l.missing(offset); err != nil {
			return Piece{}, err
		}
		if p, ok := l.piece(offset, headed); ok {
			return p, nil
		}
		if err := l.pause(ctx); err != nil {
			return Piece{}, err
		}
	}
}

// pause gives the lock up until the next change or the end of ctx.
func (l *Log) pause(ctx context.Context) error {
	ch := l.signal()
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// missing returns ErrGone when the bytes at an offset can't come any more.
func (l *Log) missing(offset int64) error {
	late := offset < l.base || l.gone
	beyond := l.over() && offset > l.end()
	if late || beyond {
		return ErrGone{Offset: offset, Kept: l.base, End: l.end()}
	}
	return nil
}

func (l *Log) piece(offset int64, headed bool) (Piece, bool) {
	if !headed && l.head != nil {
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
