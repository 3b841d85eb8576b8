package origin

import (
	"fmt"
	"net/netip"
	"testing"
)

// BenchmarkRecord measures the record of one stream at its first entry, with its datagrams, before the
// time that the kernel takes to send them.
func BenchmarkRecord(b *testing.B) {
	for _, entries := range []int{4, 350} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			var members []Member
			for i := range entries - 1 {
				members = append(members, member(i+1, 14))
			}
			sent := 0
			d := &Directory{Self: member(0, 14), Members: func() []Member { return members[:len(members):len(members)] }, Send: func(_ netip.AddrPort, m []byte) { sent += len(m) }}
			b.ReportAllocs()
			for n := range b.N {
				d.Record(fmt.Sprint("s-", n), "shop", "1")
			}
			b.ReportMetric(float64(sent)/float64(b.N), "sent-B/op")
		})
	}
}
