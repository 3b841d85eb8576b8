package origin

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// copies is the number of entries that hold a record, in different failure domains if there are
	// as many.
	copies = 3
	// maxQueried is the number of entries at which a record is looked up. It is larger than copies,
	// because two entries can have different lists of members for some seconds.
	maxQueried = 5
)

// Member is an entry that can hold records.
type Member struct {
	Addr netip.AddrPort
	// Domain is the hash of its failure domain.
	Domain uint32
}

// Holders returns up to n members that hold the record of a stream, in an order that depends only on
// the stream and the members. The first ones are in different failure domains as far as possible, so
// that the loss of a domain leaves a copy.
func Holders(stream StreamID, members []Member, n int) []Member {
	type ranked struct {
		Member
		score uint64
		// domainRank counts the members of the same domain with a higher score.
		domainRank int
	}
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{Member: m, score: score(stream, m.Addr)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.Addr.Compare(b.Addr))
	})
	seen := make(map[uint32]int)
	for i := range list {
		list[i].domainRank = seen[list[i].Domain]
		seen[list[i].Domain]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.domainRank, b.domainRank) })
	holders := make([]Member, 0, n)
	for _, m := range list[:min(n, len(list))] {
		holders = append(holders, m.Member)
	}
	return holders
}

// score returns the weight of a member for a stream, as in rendezvous hashing.
func score(stream StreamID, addr netip.AddrPort) uint64 {
	var b [26]byte
	ip := addr.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], addr.Port())
	binary.BigEndian.PutUint64(b[18:], uint64(stream))
	return xxhash.Sum64(b[:])
}
