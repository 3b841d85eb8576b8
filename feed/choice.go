package feed

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry of the fleet.
type Member struct {
	// ID is the address of its datagrams, which all entries know it by.
	ID netip.AddrPort
	// FeedAddr is the address at which it serves its facts.
	FeedAddr netip.AddrPort
	// Link is the rate of its host's link in Mbit/s; 0 for an unknown one.
	Link int
}

// Choice says where an entry reads.
type Choice struct {
	// IsReader says that the entry is one of those that read the source itself.
	IsReader bool
	// Parents are the other readers, in the order in which this entry asks them.
	Parents []Member
}

// Choose picks the readers of a fleet, so that entries that know the same members
// choose the same ones, and orders them differently for each follower. Entries that know
// different members choose too many readers or follow a follower: that costs calls and
// age, and the age is checked. Hosts with the fastest links read: a reader passes each
// configuration on to some 25 others, and one on a slow link keeps them waiting for seconds.
func Choose(self Member, members []Member) Choice {
	n := Readers(len(members) + 1)
	ranked := sortedBy(append([]Member{self}, members...), byLink)
	position := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == self.ID })
	ranked = slices.Delete(ranked, position, position+1)
	c := Choice{IsReader: position < n}
	if c.IsReader {
		n--
	}
	byHash := func(m Member) (int, uint64) { return 0, hashAddrs(self.ID, m.ID) }
	c.Parents = sortedBy(ranked[:min(n, len(ranked))], byHash)
	return c
}

// byLink orders members by the class of their links, the fastest first, and by a hash in each.
func byLink(m Member) (class int, hash uint64) { return -linkClass(m.Link), hashAddr(m.ID) }

// linkClass is the same for links whose rates differ by less than a factor of four or so.
func linkClass(rate int) int { return bits.Len(uint(max(rate, 0))) / 2 }

// sortedBy returns the members in the order of a class and a hash.
func sortedBy(members []Member, order func(Member) (class int, hash uint64)) []Member {
	type ordered struct {
		Member
		class int
		hash  uint64
	}
	list := make([]ordered, 0, len(members))
	for _, m := range members {
		class, hash := order(m)
		list = append(list, ordered{m, class, hash})
	}
	slices.SortFunc(list, func(a, b ordered) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.hash, b.hash))
	})
	out := make([]Member, 0, len(list))
	for _, m := range list {
		out = append(out, m.Member)
	}
	return out
}

func hashAddr(a netip.AddrPort) uint64 { return xxhash.Sum64(appendAddr(nil, a)) }

func hashAddrs(from, to netip.AddrPort) uint64 {
	return xxhash.Sum64(appendAddr(appendAddr(nil, from), to))
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)
	return append(b, byte(a.Port()>>8), byte(a.Port()))
}
