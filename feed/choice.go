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
	// ID is the address for its datagrams, which identifies it in the whole fleet.
	ID netip.AddrPort
	// FeedAddr is the address at which it serves its facts.
	FeedAddr netip.AddrPort
	// Link is the link rate of its host in Mbit/s, 0 if unknown.
	Link int
}

// Choice is where an entry reads facts from.
type Choice struct {
	// IsReader reports whether the entry reads the source itself.
	IsReader bool
	// Parents holds the other readers, in the order in which this entry tries them.
	Parents []Member
}

// Choose selects the readers of a fleet. Entries with the same members select the same readers;
// each follower has its own order of them. Entries with different members select too many readers,
// or follow a follower: that costs calls and increases the age of facts, which is checked. Hosts
// with the fastest links become readers, because a reader passes each configuration on to about 25
// entries and a slow link would delay them by seconds.
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

// byLink returns a sort key: the class of the link, fastest first, then a hash of the ID.
func byLink(m Member) (class int, hash uint64) { return -linkClass(m.Link), hashAddr(m.ID) }

// linkClass returns the class of a link rate. Rates of one class differ by less than a factor of
// four.
func linkClass(rate int) int { return bits.Len(uint(max(rate, 0))) / 2 }

// sortedBy returns the members sorted by class and then by hash.
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
