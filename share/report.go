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
	From        netip.AddrPort
	Incarnation uint32
	// Sequence orders the reports of one run.
	Sequence uint32
	// Sent is the sender's clock, to be echoed; whole milliseconds, rounded down,
	// so that an echo proves rather too little.
	Sent int64
	// Echo is the receiver's own Sent as the sender last received it, 0 for none.
	Echo int64
	// EchoIncarnation is the receiver's incarnation that Echo belongs to.
	EchoIncarnation uint32
	// ControlPort is the sender's port for copies, 0 for none.
	ControlPort uint16
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
	// CachedParts are prompt parts that targets have in their caches.
	CachedParts []CachedPart
	// Replaced are instances whose address another instance answers.
	Replaced []uint32
	// Crashes are contents that were running when a target died.
	Crashes []Crash
	// CacheLists are whole caches, as targets named them.
	CacheLists []CacheList
	// NeedsCatchUp says that the sender has just started or was cut off: it lacks what was reported before.
	NeedsCatchUp bool
	// Partial says that the report has nothing but Lists or Crashes.
	Partial bool
	// Reservations are the places that the sender keeps free.
	Reservations []Reservation
	// Suspected are targets whose hosts did not answer the sender.
	Suspected []uint32
	// Domain is the low half of the hash of the sender's failure domain, and
	// Domains what it has seen of the ways from there.
	Domain  uint32
	Domains []DomainHealth
	// Link is the rate of the sender's link in Mbit/s; 0 for an unknown one.
	Link uint32
}

// DomainHealth is what an entry has seen of the way to a failure domain of late.
type DomainHealth struct {
	_ struct{} `cbor:",toarray"`
	// Name is the low half of the hash of the domain's name.
	Name uint32
	// AnsweredAgo is how long ago a target there last answered, in milliseconds; -1 for not of late.
	AnsweredAgo int16
	// TimedOutAgo is how long ago one last did not answer, likewise, and Targets how many
	// did not since the last answer.
	TimedOutAgo     int16
	TimedOutTargets uint8
	// Avoided says that the sender leaves the domain alone. TimedOut then counts what other
	// entries of its own domain saw as well.
	Avoided bool
}

// Reservation is the part of a service's places that an entry keeps free for requests within
// their share, in hundredths.
type Reservation struct {
	_ struct{} `cbor:",toarray"`
	// Service is the low half of the hash of its name.
	Service uint32
	Percent uint8
}

// CacheList is what a target named of its cache: the low half of each part's ID, four
// bytes each, little endian. Halves are mistaken for each other once in some
// hundred listings of a fleet, which costs one prefix read again.
type CacheList struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Parts  []byte
}

// partSize is the size of a part in a List.
const partSize = 4

// maxListParts is how many parts fit a datagram.
const maxListParts = 320

// NewCacheList packs parts; those beyond what fits a datagram are left out.
func NewCacheList(target uint32, parts []uint64) CacheList {
	l := CacheList{Target: target}
	for _, p := range parts[:min(len(parts), maxListParts)] {
		l.Add(uint32(p))
	}
	return l
}

// Add packs one more part.
func (l *CacheList) Add(part uint32) { l.Parts = binary.LittleEndian.AppendUint32(l.Parts, part) }

// Each calls f for each part.
func (l CacheList) Each(f func(part uint32)) {
	for b := l.Parts; len(b) >= partSize; b = b[partSize:] {
		f(binary.LittleEndian.Uint32(b))
	}
}

// Load is what one entry has in progress at a target.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Running uint16
	// PendingPrefill is the prompt tokens that are not read yet, in hundreds.
	PendingPrefill uint16
}

// CachedPart says that a target has a part in its cache, or is reading it unless it is
// Ready.
type CachedPart struct {
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

// maxDatagramSize bounds a datagram: one packet on any network.
const maxDatagramSize = 1400

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
