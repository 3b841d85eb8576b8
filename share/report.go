// Package share exchanges reports between entries in small periodic datagrams: requests in
// progress, cached prompt parts and crashes. Its inputs are the local state supplied by a Delegate
// and the datagrams of peers. Reports are hints: no guarantee depends on them, and an entry that
// receives none keeps to its own share of each budget.
package share

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Report is the content of one datagram, encoded as a CBOR array.
type Report struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's address, Incarnation the number of its run: the sequence numbers of a
	// restarted sender start over.
	From        netip.AddrPort
	Incarnation uint32
	// Sequence orders the reports of one incarnation.
	Sequence uint32
	// Sent is the sender's clock in milliseconds, which the receiver echoes. It is rounded down, so
	// that an echo never proves a time later than the actual one.
	Sent int64
	// Echo is the Sent field of the receiver's last report that reached the sender, 0 for none.
	Echo int64
	// EchoIncarnation is the incarnation of the receiver to which Echo belongs.
	EchoIncarnation uint32
	// ControlPort is the port at which the sender serves copies, 0 for none.
	ControlPort uint16
	// Version is the configuration version in force at the sender.
	Version uint64
	// Age is the age of the proof that Version is current, in milliseconds; -1 for no proof.
	Age int64
	// HasIndex reports whether the sender has an index of cached prefixes.
	HasIndex bool
	// Leaving reports whether the sender is stopping.
	Leaving bool
	// Peers holds some of the peers that are live for the sender.
	Peers []netip.AddrPort
	// Loads holds the sender's own requests in progress.
	Loads []Load
	// CachedParts holds prompt parts in the caches of targets.
	CachedParts []CachedPart
	// Replaced holds instances whose address now belongs to another instance.
	Replaced []uint32
	// Crashes holds the fingerprints of requests that were running at a target when it ended.
	Crashes []Crash
	// CacheLists holds complete cache contents as listed by targets.
	CacheLists []CacheList
	// NeedsCatchUp reports whether the sender has just started or was partitioned and requests the
	// crashes that it missed.
	NeedsCatchUp bool
	// Partial reports whether the report contains only CacheLists or Crashes.
	Partial bool
	// Reservations holds the places that the sender keeps free.
	Reservations []Reservation
	// Suspected holds targets whose hosts did not respond to the sender.
	Suspected []uint32
	// Domain is the low half of the hash of the sender's failure domain, and Domains the state of
	// the connections from there to other domains as the sender observed it.
	Domain  uint32
	Domains []DomainHealth
	// Link is the link rate of the sender's host in Mbit/s, 0 if unknown.
	Link uint32
}

// DomainHealth is the recent state of the connections from an entry to a failure domain.
type DomainHealth struct {
	_ struct{} `cbor:",toarray"`
	// Name is the low half of the hash of the domain name.
	Name uint32
	// AnsweredAgo is the time since a target of the domain last responded, in milliseconds; -1 if
	// none did recently.
	AnsweredAgo int16
	// TimedOutAgo is the time since a target of the domain last timed out, in milliseconds; -1 if
	// none did recently. TimedOutTargets is the number of targets that timed out since the last
	// response.
	TimedOutAgo     int16
	TimedOutTargets uint8
	// Avoided reports whether the sender avoids the domain. TimedOutAgo then also covers the
	// timeouts observed by other entries of the sender's domain.
	Avoided bool
}

// Reservation is the percentage of a service's places that an entry keeps free for requests within
// their share.
type Reservation struct {
	_ struct{} `cbor:",toarray"`
	// Service is the low half of the hash of the service name.
	Service uint32
	Percent uint8
}

// CacheList lists the cached parts of a target. Parts holds the low half of each part's ID in four
// bytes, little endian. Two halves collide once in some hundred listings of a fleet; a
// collision costs one repeated prefill of a prefix.
type CacheList struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Parts  []byte
}

// partSize is the size of a part in CacheList.Parts, in bytes.
const partSize = 4

// maxListParts is the number of parts that fit into a datagram.
const maxListParts = 320

// NewCacheList returns a list of the low halves of parts. Parts beyond maxListParts are left out.
func NewCacheList(target uint32, parts []uint64) CacheList {
	l := CacheList{Target: target}
	for _, p := range parts[:min(len(parts), maxListParts)] {
		l.Add(uint32(p))
	}
	return l
}

// Add appends a part.
func (l *CacheList) Add(part uint32) { l.Parts = binary.LittleEndian.AppendUint32(l.Parts, part) }

// Each calls f for each part in order.
func (l CacheList) Each(f func(part uint32)) {
	for b := l.Parts; len(b) >= partSize; b = b[partSize:] {
		f(binary.LittleEndian.Uint32(b))
	}
}

// Load is the work that one entry has in progress at a target.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Target  uint32
	Running uint16
	// PendingPrefill is the number of prompt tokens not yet prefilled, in hundreds.
	PendingPrefill uint16
}

// CachedPart reports that a target has a part in its cache, or is prefilling it if Ready is false.
type CachedPart struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	// Part is the low half of the part's ID.
	Part  uint32
	Ready bool
}

// Crash reports that the content with a fingerprint was running at a target when the target ended.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Target      uint32
	Fingerprint uint64
	// Events is the number of events of the response received before the crash.
	Events uint16
	// Age is the time since the crash in milliseconds.
	Age uint32
	// Cleared reports whether the content has been served successfully since.
	Cleared bool
}

// maxDatagramSize is the maximum size of a datagram in bytes: one packet on any network.
const maxDatagramSize = 1400

// encode returns the CBOR encoding of a report.
func encode(r *Report) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, errors.Wrap(err, "encode report")
}

// decode parses a datagram. Its input is untrusted: it returns an error if b is not a valid report
// or has no valid sender address.
func decode(b []byte) (*Report, error) {
	r := &Report{}
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if !r.From.IsValid() {
		return nil, errors.New("decode report: sender address is missing or invalid")
	}
	return r, nil
}
