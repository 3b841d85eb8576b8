package claim

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The kinds of messages.
const (
	kindGrant uint8 = iota
	kindLookup
	kindAnswer
)

// message is a datagram between keepers. Times are durations, as clocks of hosts differ.
type message struct {
	_    struct{} `cbor:",toarray"`
	From netip.AddrPort
	Kind uint8
	// Number identifies a lookup of the sender; an answer repeats it.
	Number  uint64
	Content uint64
	// WaitMs is the time until the claim is due.
	WaitMs uint32
	// First is set in a grant to the first holder.
	First bool
	State State
}

// ErrMessage is the error for a datagram that is not valid.
type ErrMessage struct{ Kind uint8 }

func (e ErrMessage) Error() string { return "decode claim: invalid message" }

// encode returns the datagram of a message.
func (m *message) encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil // numbers and an address always have an encoding
	}
	return b
}

func decodeMessage(b []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	if !m.From.IsValid() || m.Kind > kindAnswer || m.State > Used {
		return nil, ErrMessage{m.Kind}
	}
	return &m, nil
}

func (m *message) wait() time.Duration { return time.Duration(m.WaitMs) * time.Millisecond }

func toMs(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }
