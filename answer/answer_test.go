package answer

import (
	"bytes"
	"context"
	"math/rand"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
	"chestnutstep.example/chestnutstep/wire"
)

// read collects an answer from an offset to its last piece.
func read(t *testing.T, l *Log, offset int64) (head *wire.Head, body []byte, end Piece) {
	t.Helper()
	r, err := l.NewReader(offset)
	assert.NilError(t, err)
	defer r.Close()
	for end.Last == nil && end.Broken == nil {
		end, err = r.Next(t.Context())
		assert.NilError(t, err)
		if end.Head != nil {
			head = end.Head
		}
		body = append(body, end.Data...)
	}
	return head, body, end
}

// TestReadersGetSameAnswer guards against readers with different bytes or checksums. A link breaks
// within the answer, and its entry or another one attaches again while the target is still writing.
func TestReadersGetSameAnswer(t *testing.T) {
	want := make([]byte, 300<<10)
	rand.New(rand.NewSource(1)).Read(want)
	var s Store
	l, existed := s.GetOrCreate(script.Epoch, "brand", "r1")
	assert.Assert(t, !existed)
	go func() {
		l.SetHead(&wire.Head{Status: 200})
		for i := 0; i < len(want); i += 1000 {
			_ = l.Append(want[i:min(i+1000, len(want))])
		}
		l.Finish()
	}()
	for _, offset := range []int64{0, 1234, int64(len(want))} {
		t.Run(strconv.FormatInt(offset, 10), func(t *testing.T) {
			t.Parallel()
			head, body, end := read(t, l, offset)
			assert.Equal(t, head.Status, uint32(200))
			assert.Assert(t, bytes.Equal(body, want[offset:]))
			assert.Equal(t, end.Last.Total, int64(len(want)))
			assert.Equal(t, end.Last.Sum, xxhash.Sum64(want))
		})
	}
}

// TestSlowReaderBlocksWriter guards against a process that grows until it is killed, because a
// caller reads slowly while its target writes fast. The writer must wait instead.
func TestSlowReaderBlocksWriter(t *testing.T) {
	l := &Log{Window: 100}
	r, err := l.NewReader(0)
	assert.NilError(t, err)
	written := make(chan int, 100)
	ended := make(chan error)
	go func() {
		var err error
		for n := 1; err == nil; n++ {
			written <- n
			err = l.Append(make([]byte, 20))
		}
		ended <- err
	}()
	for n := range written {
		if n == 6 { // the window is 100 bytes: the sixth write waits
			break
		}
	}
	assert.Equal(t, len(written), 0, "wrote past the window of a reader that reads nothing")
	_, err = r.Next(t.Context())
	assert.NilError(t, err)
	<-written // the read has made room in the window
	l.Break(chestnutstep.ReasonCanceled, chestnutstep.RunMaybe, 0)
	assert.Assert(t, IsErrEnded(<-ended))
	r.Close()
}

// TestReadOfDroppedBytesFails guards against an answer without its first part. The answer is too
// long to be kept whole, and a caller's retry requests its start; the caller must get an error.
func TestReadOfDroppedBytesFails(t *testing.T) {
	l := &Log{Window: 100, MaxBytes: 200}
	for range 10 {
		assert.NilError(t, l.Append(make([]byte, 50)))
	}
	_, err := l.NewReader(299)
	assert.Assert(t, IsErrGone(err))
	l.Finish()
	_, body, end := read(t, l, 300)
	assert.Equal(t, len(body), 200)
	assert.Equal(t, end.Last.Total, int64(500))
	assert.Equal(t, end.Last.Sum, xxhash.Sum64(make([]byte, 500)))
	_, err = l.NewReader(501)
	assert.Assert(t, IsErrGone(err), "an offset beyond the end is of another answer")
}

// TestBrokenAnswerIsNeverWhole guards against a broken answer that appears complete. The target
// crashes within the answer; the caller must get the bytes received so far and then the reason.
func TestBrokenAnswerIsNeverWhole(t *testing.T) {
	var l Log
	assert.NilError(t, l.Append([]byte("half")))
	l.Break(chestnutstep.ReasonCrashed, chestnutstep.RunMaybe, time.Second)
	l.Finish()
	_, body, end := read(t, &l, 0)
	assert.Equal(t, string(body), "half")
	assert.Assert(t, end.Last == nil)
	assert.Equal(t, end.Broken.Reason, string(chestnutstep.ReasonCrashed))
	assert.Assert(t, IsErrEnded(l.Append([]byte("more"))))
}

// TestStoreIsBounded guards against unbounded memory when thousands of answers end within a minute.
// Preferred answers must be kept longer than others, and a dropped answer must be unknown.
func TestStoreIsBounded(t *testing.T) {
	s := Store{MaxBytes: 100 << 10}
	for i := range 1000 {
		l, _ := s.GetOrCreate(script.Epoch, "brand", strconv.Itoa(i))
		if i < 10 {
			l.SetPreferred()
		}
		assert.NilError(t, l.Append(make([]byte, 1000)))
		l.Finish()
		assert.Assert(t, s.Bytes() <= s.MaxBytes+logOverhead+1000)
	}
	s.Sweep(script.Epoch)
	assert.Assert(t, s.Get("brand", "5") != nil, "a preferred answer was dropped before others")
	assert.Assert(t, s.Get("brand", "500") == nil)
	assert.Assert(t, s.Get("other", "5") == nil, "another workspace joined the answer")
	s.Sweep(script.Epoch.Add(DefaultTTL))
	assert.Equal(t, s.Len(), 10)
	s.Sweep(script.Epoch.Add(DefaultPreferredTTL))
	assert.Equal(t, s.Len(), 0)
	assert.Equal(t, s.Bytes(), int64(0))
}

// TestRunningAnswersAreBounded guards against unbounded memory when many long answers run and have
// no readers because their entries failed. Each must keep at most two windows while the store is
// over its limit.
func TestRunningAnswersAreBounded(t *testing.T) {
	s := Store{MaxBytes: 10 << 10, Window: 1 << 10}
	for n := range 200 {
		for id := range 20 {
			l, _ := s.GetOrCreate(script.Epoch, "brand", strconv.Itoa(id))
			assert.NilError(t, l.Append(make([]byte, 512)))
		}
		assert.Assert(t, s.Bytes() <= s.MaxBytes+20*(2<<10+512+logOverhead), "round %d: %d", n, s.Bytes())
	}
}

// TestRemoveEndsWaitingReaders guards against readers that wait forever. A request is refused after
// its answer was created, and its retry starts a new one; readers of the old one must get ErrGone.
func TestRemoveEndsWaitingReaders(t *testing.T) {
	var s Store
	l, _ := s.GetOrCreate(script.Epoch, "brand", "r")
	r, err := l.NewReader(0)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = r.Next(ctx)
	assert.ErrorIs(t, err, context.Canceled)
	errs := make(chan error)
	go func() {
		_, err := r.Next(t.Context())
		errs <- err
	}()
	s.Remove("brand", "r")
	assert.Assert(t, IsErrGone(<-errs))
	assert.Assert(t, IsErrEnded(l.Append([]byte("late"))))
	_, existed := s.GetOrCreate(script.Epoch, "brand", "r")
	assert.Assert(t, !existed)
}

func BenchmarkAppendAndRead(b *testing.B) {
	var l Log
	r, err := l.NewReader(0)
	assert.NilError(b, err)
	r.headSent = true
	token := []byte("data: {\"token\":\"shelf\"}\n\n")
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, l.Append(token))
		if _, err := r.Next(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStore measures the memory of an empty answer.
func BenchmarkStore(b *testing.B) {
	s := Store{MaxBytes: 1 << 40}
	before := script.HeapBytes()
	for i := range b.N {
		l, _ := s.GetOrCreate(script.Epoch, "darkroom", "0b6c3f3e-7d5e-4f1e-9b1a-"+strconv.Itoa(1e11+i))
		l.SetHead(&wire.Head{Status: 204})
		l.Finish()
	}
	b.ReportMetric((script.HeapBytes()-before)/float64(b.N), "B/answer")
	runtime.KeepAlive(&s)
}
