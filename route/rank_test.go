package route

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

var models = []string{"chat", "tag"}

// drawFleet draws a publication with domains, hosts and targets in and out of service.
func drawFleet(t *rapid.T) *chestnutstep.Publication {
	p := &chestnutstep.Publication{}
	for _, m := range models {
		p.Models = append(p.Models, chestnutstep.Model{Name: m})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
		d := chestnutstep.Domain{Name: fmt.Sprint("d", i)}
		d.Region = rapid.SampledFrom([]string{"east", "west"}).Draw(t, "region")
		d.Out = rapid.IntRange(0, 4).Draw(t, "out") == 0
		p.Domains = append(p.Domains, d)
	}
	for i := range rapid.IntRange(0, 80).Draw(t, "hosts") {
		h := chestnutstep.Host{Name: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%len(p.Domains))}
		h.Out = rapid.IntRange(0, 9).Draw(t, "host out") == 0
		target := chestnutstep.Target{Name: fmt.Sprint("t", i), Host: h.Name}
		target.Model = rapid.SampledFrom(models).Draw(t, "model")
		target.Weight = rapid.SampledFrom([]float64{0, 0.25, 1, 1, 3}).Draw(t, "weight")
		p.Hosts = append(p.Hosts, h)
		p.Targets = append(p.Targets, target)
	}
	return p
}

func drawQuery(t *rapid.T) chestnutstep.RankQuery {
	return chestnutstep.RankQuery{
		Workspace: rapid.StringN(0, 4, -1).Draw(t, "workspace"),
		Chat:      rapid.StringN(0, 6, -1).Draw(t, "chat"),
		Model:     rapid.SampledFrom(append(models, "none")).Draw(t, "model"),
		Region:    rapid.SampledFrom([]string{"east", "west", "far"}).Draw(t, "region"),
		Hint:      rapid.SampledFrom([]string{"", "t0", "t3", "t7", "gone"}).Draw(t, "hint"),
	}
}

// naive sorts all targets that qualify, with a logarithm for each.
func naive(v *chestnutstep.View, skip func(*chestnutstep.Target) bool, req chestnutstep.RankQuery, n int) []string {
	var all []*chestnutstep.Target
	for _, target := range v.TargetsByModel[req.Model] {
		if !v.IsOut(target) && !skip(target) {
			all = append(all, target)
		}
	}
	rank := func(target *chestnutstep.Target) int {
		switch {
		case target.Name == req.Hint:
			return 0
		case v.Region(target.Host) == req.Region:
			return 1
		}
		return 2
	}
	score := func(target *chestnutstep.Target) float64 {
		c := newCandidate(target)
		return rankKey(uniform(c.hash, chatHash(req.Workspace, req.Chat)), c.inverseWeight)
	}
	slices.SortFunc(all, func(a, b *chestnutstep.Target) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(score(a), score(b)), cmp.Compare(a.Name, b.Name))
	})
	return names(all[:min(n, len(all), MaxTargets)])
}

func names(targets []*chestnutstep.Target) []string {
	list := []string{}
	for _, target := range targets {
		list = append(list, target.Name)
	}
	return list
}

func TestRankAgreesWithPlainSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := chestnutstep.NewView(drawFleet(t))
		leaving := rapid.SampledFrom([]string{"", "t1", "t3"}).Draw(t, "leaving")
		skip := func(target *chestnutstep.Target) bool { return target.Name == leaving }
		table := &Table{View: v, Skip: skip}
		table.Build()
		for range 8 {
			req := drawQuery(t)
			n := rapid.IntRange(0, 90).Draw(t, "n")
			assert.DeepEqual(t, names(table.Rank(nil, req, n)), naive(v, skip, req, n))
		}
	})
}

// TestEntriesAgreeOnCommonTargets guards against different rankings at entries whose host lists
// differ for a few seconds. If the order of the targets that both have differed, a chat would
// lose its prompt cache whenever a balancer sent it to another entry.
func TestEntriesAgreeOnCommonTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := chestnutstep.NewView(drawFleet(t))
		newPartialTable := func(label string) *Table {
			hidden := map[string]bool{}
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, 79), 0, 20).Draw(t, label) {
				hidden[fmt.Sprint("t", i)] = true
			}
			table := &Table{View: v, Skip: func(target *chestnutstep.Target) bool { return hidden[target.Name] }}
			table.Build()
			return table
		}
		a, b := newPartialTable("a"), newPartialTable("b")
		req := drawQuery(t)
		req.Hint = ""
		rankCommon := func(from, other *Table) []string {
			return slices.DeleteFunc(names(from.Rank(nil, req, MaxTargets)), func(name string) bool {
				return other.byName[name] == nil
			})
		}
		assert.DeepEqual(t, rankCommon(a, b), rankCommon(b, a))
	})
}

// bigTable returns a table with targets of one model in three domains.
func bigTable(targets int) *Table {
	p := &chestnutstep.Publication{Models: []chestnutstep.Model{{Name: "chat"}}}
	for i := range 3 {
		p.Domains = append(p.Domains, chestnutstep.Domain{Name: fmt.Sprint("d", i), Region: "east"})
	}
	for i := range targets {
		host := fmt.Sprint("h", i)
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: host, Domain: fmt.Sprint("d", i%3)})
		p.Targets = append(p.Targets, chestnutstep.Target{Name: fmt.Sprint("t", i), Host: host, Model: "chat", Weight: 1 + float64(i%2)})
	}
	table := &Table{View: chestnutstep.NewView(p)}
	table.Build()
	return table
}

// TestFirstChoiceFollowsWeight guards against a ranking that ignores weights: small targets
// would reject requests at their cap that large ones could serve.
func TestFirstChoiceFollowsWeight(t *testing.T) {
	const chats = 20000
	table := bigTable(30)
	var heavy int
	for i := range chats {
		first := table.Rank(nil, chestnutstep.RankQuery{Chat: fmt.Sprint("c", i), Model: "chat", Region: "east"}, 1)[0]
		if first.Weight == 2 {
			heavy++
		}
	}
	share := float64(heavy) / chats
	assert.Assert(t, share > 0.65 && share < 0.68, "share %v", share)
}

func TestRankAllocatesNothing(t *testing.T) {
	table := bigTable(2700)
	dst := make([]*chestnutstep.Target, 0, 8)
	req := chestnutstep.RankQuery{Workspace: "desk", Chat: "c1", Model: "chat", Region: "east", Hint: "t9"}
	allocs := testing.AllocsPerRun(100, func() { dst = table.Rank(dst[:0], req, 4) })
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{18, 2700} {
		b.Run(fmt.Sprint("targets=", n), func(b *testing.B) {
			table := bigTable(n)
			dst := make([]*chestnutstep.Target, 0, 8)
			chats := []string{"a", "b", "c", "d", "e", "f", "g"}
			req := chestnutstep.RankQuery{Workspace: "desk", Model: "chat", Region: "east"}
			b.ReportAllocs()
			for i := range b.N {
				req.Chat = chats[i%len(chats)]
				dst = table.Rank(dst[:0], req, 4)
			}
		})
	}
}
