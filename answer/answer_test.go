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
	"chestnutstep.example/chestnutstep/wire"
)

var epoch = time.Unix(1000, 0)

// read collects an answer through a link until its last piece.
func read(t *testing.T, k *Link) (head *wire.Head, body []byte, end Piece) {
	t.Helper()
	defer k.Close()
	for {
		p, err := k.Next(t.Context())
		assert.NilError(t, err)
		if p.Head != nil {
			head = p.Head
		}
		body = append(body, p.Data...)
		if p.Last != nil || p.Broken != nil {
			return head, body, p
		}
	}
}

// A link breaks in mid-answer, and its entry or another one attaches again while
// the target is still writing. The caller notices nothing: all links get the
// same bytes and the same checksum.
func TestLinksReadTheSameAnswer(t *testing.T) {
	want := make([]byte, 300<<10)
	rand.New(rand.NewSource(1)).Read(want)
	var s Shelf
	l, existed := s.Put(epoch, "brand", "r1")
	assert.Assert(t, !existed)

	type got struct {
		body []byte
		end  Piece
	}
	out := make(chan got)
	for range 3 {
		k, err := l.Attach(0)
		assert.NilError(t, err)
		go func() {
			_, body, end := read(t, k)
			out <- got{body, end}
		}()
	}
	l.SetHead(&wire.Head{Status: 200})
	for i := 0; i < len(want); i += 1000 {
		assert.NilError(t, l.Append(want[i:min(i+1000, len(want))]))
	}
	l.Finish()
	for range 3 {
		g := <-out
		assert.Assert(t, bytes.Equal(g.body, want))
		assert.Equal(t, g.end.Last.Total, int64(len(want)))
		assert.Equal(t, g.end.Last.Sum, xxhash.Sum64(want))
	}
	k, err := l.Attach(1234)
	assert.NilError(t, err)
	head, body, _ := read(t, k)
	assert.Equal(t, head.Status, uint32(200))
	assert.Assert(t, bytes.Equal(body, want[1234:]))
}

// A caller reads slowly while its target writes fast. The operator would notice
// a process that grows until it is killed; instead the writer waits.
func TestSlowLinkHoldsTheWriterBack(t *testing.T) {
	l := &Log{Window: 100}
	k, err := l.Attach(0)
	assert.NilError(t, err)
	var written [50]chan struct{}
	for i := range written {
		written[i] = make(chan struct{})
	}
	ended := make(chan error)
	go func() {
		for i := range written {
			if err := l.Append(make([]byte, 20)); err != nil {
				ended <- err
				return
			}
			close(written[i])
		}
	}()
	<-written[4] // 100 bytes are the window: the sixth write waits
	for _, ch := range written[5:] {
		select {
		case <-ch:
			t.Fatal("wrote past the window of a link that reads nothing")
		default:
		}
	}
	_, err = k.Next(t.Context())
	assert.NilError(t, err)
	<-written[5] // the read made room
	l.Break(chestnutstep.ReasonCanceled, chestnutstep.RunMaybe, 0)
	assert.Assert(t, IsErrEnded(<-ended))
	k.Close()
}

// An answer is too long to be kept whole, and a caller's repeat asks for its
// start. A router that sent what is left would hand out an answer without its
// first part; the caller gets an error instead.
func TestDroppedBytesAreAnError(t *testing.T) {
	l := &Log{Window: 100, Most: 200}
	for range 10 {
		assert.NilError(t, l.Append(make([]byte, 50)))
	}
	_, err := l.Attach(299)
	assert.Assert(t, IsErrGone(err))
	k, err := l.Attach(300)
	assert.NilError(t, err)
	l.Finish()
	_, body, end := read(t, k)
	assert.Equal(t, len(body), 200)
	assert.Equal(t, end.Last.Total, int64(500))
	assert.Equal(t, end.Last.Sum, xxhash.Sum64(make([]byte, 500)))
	_, err = l.Attach(501)
	assert.Assert(t, IsErrGone(err), "an offset beyond the end is of another answer")
}

// The target dies in mid-answer. The caller gets the bytes that came and then
// the reason, never an end that looks like a whole answer.
func TestBrokenAnswerIsNeverWhole(t *testing.T) {
	var l Log
	assert.NilError(t, l.Append([]byte("half")))
	l.Break(chestnutstep.ReasonCrashed, chestnutstep.RunMaybe, time.Second)
	l.Finish()
	k, err := l.Attach(0)
	assert.NilError(t, err)
	_, body, end := read(t, k)
	assert.Equal(t, string(body), "half")
	assert.Assert(t, end.Last == nil)
	assert.Equal(t, end.Broken.Reason, string(chestnutstep.ReasonCrashed))
	assert.Assert(t, IsErrEnded(l.Append([]byte("more"))))
}

// Thousands of answers end within a minute. What the agent keeps stays bounded;
// booked slots' answers outlive the others, and a dropped one is unknown.
func TestShelfIsBounded(t *testing.T) {
	s := Shelf{Most: 100 << 10}
	for i := range 1000 {
		l, _ := s.Put(epoch, "brand", strconv.Itoa(i))
		if i < 10 {
			l.Prefer()
		}
		assert.NilError(t, l.Append(make([]byte, 1000)))
		l.Finish()
		assert.Assert(t, s.Bytes() <= s.Most+overhead+1000)
	}
	s.Sweep(epoch)
	assert.Assert(t, s.Get("brand", "5") != nil, "a preferred answer was dropped before others")
	assert.Assert(t, s.Get("brand", "500") == nil)
	assert.Assert(t, s.Get("other", "5") == nil, "another workspace joined the answer")
	s.Sweep(epoch.Add(DefaultKeep))
	assert.Equal(t, s.Len(), 10)
	s.Sweep(epoch.Add(DefaultLong))
	assert.Equal(t, s.Len(), 0)
	assert.Equal(t, s.Bytes(), int64(0))
}

// Long answers run at once and nobody reads them: their entries died. Each
// keeps two windows at most while the shelf is over its bound.
func TestRunningAnswersAreBounded(t *testing.T) {
	s := Shelf{Most: 10 << 10, Window: 1 << 10}
	for n := range 200 {
		for id := range 20 {
			l, _ := s.Put(epoch, "brand", strconv.Itoa(id))
			assert.NilError(t, l.Append(make([]byte, 512)))
		}
		assert.Assert(t, s.Bytes() <= s.Most+20*(2<<10+512+overhead), "round %d: %d", n, s.Bytes())
	}
}

// A request is refused after its answer was opened, and its repeat arrives: it
// starts anew. Links of the old one hear that it is gone rather than wait.
func TestRemoveEndsWaitingLinks(t *testing.T) {
	var s Shelf
	l, _ := s.Put(epoch, "brand", "r")
	k, err := l.Attach(0)
	assert.NilError(t, err)
	errs := make(chan error)
	go func() {
		_, err := k.Next(context.Background())
		errs <- err
	}()
	s.Remove("brand", "r")
	assert.Assert(t, IsErrGone(<-errs))
	assert.Assert(t, IsErrEnded(l.Append([]byte("late"))))
	_, existed := s.Put(epoch, "brand", "r")
	assert.Assert(t, !existed)
}

func TestNextEndsWithItsContext(t *testing.T) {
	var l Log
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := l.Next(ctx, -1)
	assert.ErrorIs(t, err, context.Canceled)
	l.SetHead(&wire.Head{Status: 201})
	p, err := l.Next(t.Context(), -1)
	assert.NilError(t, err)
	assert.Equal(t, p.Head.Status, uint32(201))
}

func BenchmarkAppendAndRead(b *testing.B) {
	var l Log
	k, err := l.Attach(0)
	assert.NilError(b, err)
	k.headed = true
	token := []byte("data: {\"token\":\"shelf\"}\n\n")
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, l.Append(token))
		if _, err := k.Next(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkShelf prints what an empty answer takes in memory.
func BenchmarkShelf(b *testing.B) {
	s := Shelf{Most: 1 << 40}
	before := heap()
	for i := range b.N {
		l, _ := s.Put(epoch, "darkroom", "0b6c3f3e-7d5e-4f1e-9b1a-"+strconv.Itoa(1e11+i))
		l.SetHead(&wire.Head{Status: 204})
		l.Finish()
	}
	b.ReportMetric((heap()-before)/float64(b.N), "B/answer")
	runtime.KeepAlive(&s)
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
