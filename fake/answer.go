package fake

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Names of the events in an answer's stream.
const (
	eventDone  = "event: done\n"
	eventError = "event: error\n"
	dataField  = "data: "
	eventEnd   = "\n\n"
)

// Done is the data of the last event of a whole answer.
type Done struct {
	Tokens int `json:"tokens"`
	// Sum is the XXH64 in hex of all bytes before this event.
	Sum string `json:"sum"`
	// Cached is the part of the prompt that was found in the cache, in tokens.
	Cached int `json:"cached"`
}

// Seed derives an answer's content from what the caller sent, so that the
// caller can tell its own answer from another's without trusting a header.
func Seed(chat string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(chat)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// appendToken appends the event of token n of the answer with that seed.
func appendToken(dst []byte, seed uint64, n int) []byte {
	dst = append(dst, dataField...)
	dst = strconv.AppendUint(dst, mix(seed+uint64(n)), 16)
	return append(dst, eventEnd...)
}

// mix is the output function of SplitMix64: near seeds give unlike tokens.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func appendDone(dst []byte, d Done) []byte {
	raw, _ := json.Marshal(d)
	dst = append(dst, eventDone...)
	dst = append(dst, dataField...)
	dst = append(dst, raw...)
	return append(dst, eventEnd...)
}

// ErrMisdelivered says that a stream holds what its caller did not ask for.
type ErrMisdelivered struct {
	// Token is the number of the first wrong event.
	Token int
	Got   string
}

func (e *ErrMisdelivered) Error() string {
	return "event " + strconv.Itoa(e.Token) + " is of another answer: " + strconv.Quote(e.Got)
}

// IsErrMisdelivered reports whether err says that an answer is another's.
func IsErrMisdelivered(err error) bool {
	var e *ErrMisdelivered
	return errors.As(err, &e)
}

// Checker reads an engine's answer as its caller does and tells whether it is
// whole and the caller's own. Write it the bytes as they come.
type Checker struct {
	// Seed of the answer that the caller expects.
	Seed uint64
	// Tokens seen so far.
	Tokens int
	// Done is the last event once it came and its sum was right.
	Done *Done
	// Failed says that an error event announced a broken answer.
	Failed bool

	buffer  []byte
	sum     xxhash.Digest
	started bool
}

// Write takes the next bytes of the stream. It returns ErrForeign at the first
// event that does not belong.
func (c *Checker) Write(p []byte) (int, error) {
	if !c.started {
		c.sum.Reset()
		c.started = true
	}
	c.buffer = append(c.buffer, p...)
	for {
		n := bytes.Index(c.buffer, []byte(eventEnd))
		if n < 0 {
			return len(p), nil
		}
		n += len(eventEnd)
		if err := c.event(c.buffer[:n]); err != nil {
			return 0, err
		}
		c.buffer = c.buffer[n:]
	}
}

func (c *Checker) event(e []byte) error {
	if bytes.HasPrefix(e, []byte(eventError)) {
		c.Failed = true
		return nil
	}
	if after, ok := bytes.CutPrefix(e, []byte(eventDone+dataField)); ok {
		return c.done(after)
	}
	var buf [64]byte
	if c.Done != nil || !bytes.Equal(e, appendToken(buf[:0], c.Seed, c.Tokens)) {
		return &ErrMisdelivered{Token: c.Tokens, Got: string(e)}
	}
	_, _ = c.sum.Write(e)
	c.Tokens++
	return nil
}

func (c *Checker) done(raw []byte) error {
	var d Done
	if err := json.Unmarshal(raw, &d); err != nil {
		return errors.Wrap(err, "last event")
	}
	if d.Tokens != c.Tokens || d.Sum != strconv.FormatUint(c.sum.Sum64(), 16) {
		return &ErrMisdelivered{Token: c.Tokens, Got: string(raw)}
	}
	c.Done = &d
	return nil
}
