// Package share exchanges reports between entries in small periodic datagrams: requests in
// progress, prompt parts in caches, crashes. Reports are hints: no guarantee rests on them,
// and an entry that receives none keeps to its own part of each budget.
package share

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Report is one datagram.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's address, Run its incarnation: a restarted sender's
	// numbers begin anew.
	From netip.AddrPort
	Run  uint32
	// Number orders the reports of one run.
	Number uint32
	// Sent is the sender's clock, to be echoed; whole milliseconds, rounded down,
	// so that an echo proves rather too little.
	Sent int64
	// Echo is the receiver's own Sent as the sender last received it, 0 for none.
	Echo int64
	// EchoRun is the receiver's incarnation that Echo belongs to.
	EchoRun uint32
	// Control is the sender's port for copies, 0 for none.
	Control uint16
	// Version of the configuration in force at the sender.
	Version uint64
	// Age of the proof that the version is current, in milliseconds; -1 for no
	// proof.
	Age int64
	// HasIndex says that the sender knows what targets have in their caches.
	HasIndex bool
	// Leaving says that the sender is stopping.
	Leaving bool
	// Peers are some other entries that are alive for the sender.
	Peers []netip.AddrPort
	// Loads are the sender's own requests in progress.
	Loads []Load
	// Holds are prompt parts that targets have in their caches.
	Holds []Hold
	// Gone are instances whose address another instance answers.
	Gone []uint32
	// Crashes are contents that were running when a target died.
	Crashes []Crash
	// Lists are whole caches, as targets named them.
	Lists []List
	// Missed says that the sender has just started or was cut off: it lacks what was reported before.
	Missed bool
	// Partial says that the report has nothing but Lists or Crashes.
	Partial bool
	// Kept are the places that the sender keeps free.
	Kept []Kept
	// Suspected are targets whose hosts did not answer the sender.
	Suspected []uint32
	// Domain is the low half of the hash of the sender's failure domain, and
	// Domains what it has seen of the ways from there.
	Domain  uint32
	Domains []Domain
	// Link is the rate of the sender's link in Mbit/s; 0 for an unknown one.
	Link uint32
}

// Domain is what an entry has seen of the way to a failure domain of late.
type Domain struct {
	_ struct{} `cbor:",toarray"`
	// Name is the low half of the hash of the domain's name.
	Name uint32
	// Answered is how long ago a target there last answered, in milliseconds; -1 for not of late.
	Answered int16
	// TimedOut is how long ago one last did not answer, likewise, and Targets how many
	// did not since the last answer.
	TimedOut int16
	Targets  uint8
	// Lost says that the sender leaves the domain alone. TimedOut then counts what other
	// entries of its own domain saw as well.
	Lost bool
}

// Kept is the part of a service's places that an entry keeps free for requests within
// their share, in hundredths.
type Kept struct {
	_ struct{} `cbor:",toarray"`
	// Service is the low half of the hash of its name.
	Service uint32
	Part    uint8
}

// List is what a target named of its cache: the low half of each part's ID, four
// bytes each, little endian. Halves are mistaken for each other once in some
// hundred listings of a fleet, which costs one prefix read again.
type List struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Parts  []byte
}

// partBytes is the size of a part in a List.
const partBytes = 4

// listMost is how many parts fit a datagram.
const listMost = 320

// NewList packs parts; those beyond what fits a datagram are left out.
func NewList(target uint32, parts []uint64) List {
	l := List{Target: target}
	for _, p := range parts[:min(len(parts), listMost)] {
		l.Add(uint32(p))
	}
	return l
}

// Add packs one more part.
func (l *List) Add(part uint32) { l.Parts = binary.LittleEndian.AppendUint32(l.Parts, part) }

// Each calls f for each part.
func (l List) Each(f func(part uint32)) {
	for b := l.Parts; len(b) >= partBytes; b = b[partBytes:] {
		f(binary.LittleEndian.Uint32(b))
	}
}

// Load is what one entry has in progress at a target.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Running uint16
	// Reading is the prompt tokens that are not read yet, in hundreds.
	Reading uint16
}

// Hold says that a target has a part in its cache, or is reading it unless it is
// Ready.
type Hold struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	// Part is the low half of the part's ID.
	Part  uint32
	Ready bool
}

// Crash says that content was running at a target when it ended.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Target      uint32
	Fingerprint uint64
	// Events is how many events of the answer had come.
	Events uint16
	// Age is how long ago it was, in milliseconds.
	Age uint32
	// Cleared says that the content was served since.
	Cleared bool
}

// datagramMost bounds a datagram: one packet on any network.
const datagramMost = 1400

// encode writes a report.
func encode(r *Report) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, errors.Wrap(err, "encode report")
}

// decode reads a report; the bytes come from the network and may be anything.
func decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if !r.From.IsValid() {
		return nil, errors.New("decode report: no sender")
	}
	return r, nil
}
