package memory

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNoRoom is the error of a body for which there is no memory.
type ErrNoRoom struct {
	// Size is what the body needs, in bytes; for a body of unknown length, up to the segment that found
	// no room. Used is what all bodies took by then.
	Size, Used int64
}

// Error returns a text with the sizes.
func (err ErrNoRoom) Error() string {
	return fmt.Sprintf("no memory for a body of %d bytes, bodies take %d", err.Size, err.Used)
}

// IsErrNoRoom reports whether err is or wraps an ErrNoRoom.
func IsErrNoRoom(err error) bool {
	var e ErrNoRoom
	return errors.As(err, &e)
}

// ErrTooLong is the error of a body that exceeds its limit.
type ErrTooLong struct {
	// Limit is the most that is allowed, in bytes.
	Limit int64
}

// Error returns a text with the limit.
func (err ErrTooLong) Error() string { return fmt.Sprintf("body exceeds %d bytes", err.Limit) }

// IsErrTooLong reports whether err is or wraps an ErrTooLong.
func IsErrTooLong(err error) bool {
	var e ErrTooLong
	return errors.As(err, &e)
}

// Body is the body of a request. It does not change once it was read, so that several attempts can send it
// at the same time. A nil Body is empty.
type Body struct {
	ledger   *Ledger
	segments [][]byte
	length   int64
	// reserved is what the ledger accounts for, as large or not.
	reserved int64
	isLarge  bool
	// holders counts those that have not called Release.
	holders atomic.Int32
}

// Bytes returns a Body with the given bytes, which no ledger accounts for.
func Bytes(b []byte) *Body {
	body := &Body{segments: [][]byte{b}, length: int64(len(b))}
	body.holders.Store(1)
	return body
}

// Read reads a body of the given length, -1 if it is unknown, of at most maxBytes; nil if it is empty. Room for a body of known
// length is taken before anything is read. The error is an ErrNoRoom, an ErrTooLong or that of r.
func (l *Ledger) Read(r io.Reader, length, maxBytes int64) (*Body, error) {
	if length > maxBytes {
		return nil, ErrTooLong{maxBytes}
	}
	if length == 0 {
		return nil, nil
	}
	b := &Body{ledger: l, isLarge: length > SmallBytes}
	b.holders.Store(1)
	if length >= 0 && !b.reserve(length) {
		return nil, ErrNoRoom{length, l.Use().Used}
	}
	err := b.read(r, length, maxBytes)
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) reserve(n int64) bool {
	if !b.ledger.Take(n, b.isLarge) {
		return false
	}
	b.reserved += n
	return true
}

func (b *Body) read(r io.Reader, length, maxBytes int64) error {
	if length >= 0 {
		return b.readKnown(r, length)
	}
	for size := int64(firstSegmentBytes); ; size = SegmentBytes {
		if err := b.grow(size); err != nil {
			return err
		}
		err := b.readSegment(r, size)
		if b.length > maxBytes {
			return ErrTooLong{maxBytes}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readKnown reads a body whose room is reserved. A small one has a single segment.
func (b *Body) readKnown(r io.Reader, length int64) error {
	size := int64(SegmentBytes)
	if !b.isLarge {
		size = length
	}
	for b.length < length {
		err := b.readSegment(r, min(size, length-b.length))
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readSegment appends a segment with the next bytes. It returns io.EOF if the body ends in it.
func (b *Body) readSegment(r io.Reader, size int64) error {
	s := b.ledger.segments.Get(size)
	n, err := fill(r, s)
	b.segments = append(b.segments, s[:n])
	b.length += int64(n)
	return err
}

// fill reads until s is full. Unlike io.ReadFull it returns the error of r as it is, because a cut body of
// unknown length must not look like one that has ended.
func fill(r io.Reader, s []byte) (n int, err error) {
	for n < len(s) && err == nil {
		var more int
		more, err = r.Read(s[n:])
		n += more
	}
	if n == len(s) && err == io.EOF {
		err = nil // the next read returns it again
	}
	return n, err
}

// grow reserves room for a further segment of a body of unknown length.
func (b *Body) grow(size int64) error {
	if !b.isLarge && b.reserved+size > SmallBytes {
		if !b.ledger.reclassify(b.reserved) {
			return ErrNoRoom{b.reserved + size, b.ledger.Use().Used}
		}
		b.isLarge = true
	}
	if !b.reserve(size) {
		return ErrNoRoom{b.reserved + size, b.ledger.Use().Used}
	}
	return nil
}

// Len returns the length in bytes.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// IsLarge reports whether the body counts as a large one.
func (b *Body) IsLarge() bool { return b != nil && b.isLarge }

// Segments returns the bytes in order. They must not be changed, nor used after the last Release.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// Retain adds a holder, who must call Release as well.
func (b *Body) Retain() {
	if b != nil {
		b.holders.Add(1)
	}
}

// Release ends the use by one holder. With the last one, the memory is used for other bodies.
func (b *Body) Release() {
	if b == nil || b.holders.Add(-1) != 0 || b.ledger == nil {
		return
	}
	b.ledger.Return(b.reserved, b.isLarge)
	b.ledger.putSegments(b.segments)
	b.segments = nil
}
