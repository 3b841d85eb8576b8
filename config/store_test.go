package config

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
)

// packed is a publication as the platform serves it.
type packed struct {
	root  []byte
	parts map[string][]byte
	valid bool
	stamp Stamp
}

// publish packs a small fleet; contents of the same version differ in the
// domain that is out of service. An invalid one has a cap that allows no work.
func publish(version uint64, out string, valid bool) packed {
	p := fleet(version, 3, 1)
	for i := range p.Domains {
		p.Domains[i].Out = p.Domains[i].Name == out
	}
	if !valid {
		p.Models[0].Multiple = 0.5
	}
	root, parts := Pack(p)
	return packed{root, parts, valid, Stamp{version, Hash(root)}}
}

// lastParts returns only the last n parts.
func (p packed) lastParts(n int) map[string][]byte {
	r, _ := ParseRoot(p.root)
	subset := make(map[string][]byte)
	for _, hash := range r.Parts[len(r.Parts)-n:] {
		subset[hash] = p.parts[hash]
	}
	return subset
}

// TestStore runs the scripts in testdata/store. They apply publications in the orders in
// which a configuration service and peers can deliver them, and print the one in force.
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata/store", func(t *testing.T, path string) {
		var output strings.Builder
		pubs, s := make(map[string]packed), newStore(&output)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := time.Unix(0, 0)
			output.Reset()
			key, out, parts := d.CmdArgs[0].Key, "", 99
			version := uint64(0)
			d.MaybeScanArgs(t, "version", &version)
			d.MaybeScanArgs(t, "out", &out)
			d.MaybeScanArgs(t, "parts", &parts)
			p := pubs[key]
			var err error
			switch d.Cmd {
			case "publish":
				pubs[key] = publish(version, out, !d.HasArg("invalid"))
				return ""
			case "start":
				s = newStore(&output)
			case "put":
				if parts < len(p.parts) {
					err = s.Apply(now, p.root, p.lastParts(parts))
				} else {
					err = s.Apply(now, p.root, p.parts)
				}
			case "keep":
				for hash, raw := range p.lastParts(parts) {
					assert.NilError(t, s.AddPart(hash, raw))
					assert.Assert(t, IsErrPart(s.AddPart(hash, raw[1:])))
				}
			case "missing":
				var list []string
				list, err = s.Missing(now, p.root)
				fmt.Fprintf(&output, "missing %d of %d\n", len(list), len(p.parts))
			}
			fmt.Fprintf(&output, "%s%s\n", errorText(err), storeState(s))
			return output.String()
		})
	})
}

func newStore(output *strings.Builder) *Store {
	return &Store{
		OnChange: []func(Change){func(c Change) {
			fmt.Fprintf(output, "change to %d, clash %v\n", c.Stamp.Version, c.Conflict)
		}},
		OnRefuse: []func(Refusal){func(r Refusal) {
			fmt.Fprintf(output, "refused %d: %s", r.Stamp.Version, errorText(r.Err))
		}},
	}
}

func errorText(err error) string {
	switch {
	case err == nil:
		return ""
	case IsErrStale(err):
		return "old\n"
	case IsErrConflict(err):
		return "clash\n"
	case IsErrPart(err):
		return "part missing\n"
	default:
		return err.Error() + "\n"
	}
}

func storeState(s *Store) string {
	v := s.View()
	if v == nil {
		return "nothing in force"
	}
	out := "none"
	for _, d := range v.Publication.Domains {
		if d.Out {
			out = d.Name
		}
	}
	return fmt.Sprintf("in force: version %d, out %s", v.Publication.Version, out)
}

// publicationStore is the store that the schedules run against: Store or naiveStore.
type publicationStore interface {
	Apply(now time.Time, root []byte, parts map[string][]byte) error
	View() *chestnutstep.View
}

// naiveStore applies the last publication that it can parse, and ignores parts that are
// missing.
type naiveStore struct{ view *chestnutstep.View }

func (n *naiveStore) View() *chestnutstep.View { return n.view }

func (n *naiveStore) Apply(_ time.Time, root []byte, parts map[string][]byte) error {
	r, err := ParseRoot(root)
	if err != nil {
		return err
	}
	p := &chestnutstep.Publication{Version: r.Version}
	for _, hash := range r.Parts {
		var f fragment
		if raw, ok := parts[hash]; ok && decode(raw, &f) == nil {
			f.appendTo(p)
		}
	}
	n.view = chestnutstep.NewView(p)
	return nil
}

// allPublications are the publications of the schedules.
var allPublications = sync.OnceValue(func() []packed {
	return []packed{
		publish(1, "", true), publish(2, "a", true), publish(2, "b", true), publish(3, "", false),
		publish(4, "c", true), publish(4, "", true), publish(5, "a", false),
	}
})

// runSchedule delivers publications to five processes in an arbitrary order: from a
// service that returns outdated data, incomplete, in conflict with each other, invalid,
// and across restarts. It returns the first violation of a guarantee.
func runSchedule(draw func(label string, n int) int, create func() publicationStore) error {
	pubs := allPublications()
	byStamp := make(map[Stamp]packed)
	for _, p := range pubs {
		byStamp[p.stamp] = p
	}
	const processes = 5
	stores := make([]publicationStore, processes)
	seen := make([]Stamp, processes)
	check := func(i int) error {
		v := stores[i].View()
		if v == nil {
			return nil
		}
		root, _ := Pack(v.Publication)
		st := Stamp{v.Publication.Version, Hash(root)}
		switch p, ok := byStamp[st]; {
		case !ok:
			return fmt.Errorf("process %d runs on a mixture of publications", i)
		case !p.valid:
			return fmt.Errorf("process %d runs on invalid version %d", i, st.Version)
		case st.Compare(seen[i]) < 0:
			return fmt.Errorf("process %d went back from %s to %s", i, seen[i], st)
		}
		seen[i] = st
		return nil
	}
	exchange := func(i, j int) error {
		if v := stores[j].View(); v != nil {
			root, _ := Pack(v.Publication)
			p := byStamp[Stamp{v.Publication.Version, Hash(root)}]
			_ = stores[i].Apply(time.Time{}, p.root, p.parts)
		}
		return check(i)
	}
	for i := range stores {
		stores[i] = create()
	}
	for range 40 {
		i := draw("process", processes)
		p := pubs[draw("publication", len(pubs))]
		var err error
		switch draw("event", 6) {
		case 0:
			stores[i], seen[i] = create(), Stamp{}
		case 1:
			_ = stores[i].Apply(time.Time{}, p.root, p.lastParts(draw("parts", len(p.parts))))
			err = check(i)
		case 2:
			_ = stores[i].Apply(time.Time{}, p.root, p.parts)
			err = check(i)
		default:
			err = exchange(i, draw("peer", processes))
		}
		if err != nil {
			return err
		}
	}
	return converge(stores, seen, exchange)
}

// converge lets each process exchange twice with each other one and checks that all end
// with the highest publication that any of them had.
func converge(stores []publicationStore, seen []Stamp, exchange func(i, j int) error) error {
	var highest Stamp
	for _, st := range seen {
		if highest.Compare(st) < 0 {
			highest = st
		}
	}
	for range 2 {
		for i := range stores {
			for j := range stores {
				if err := exchange(i, j); err != nil {
					return err
				}
			}
		}
	}
	for i, st := range seen {
		if st != highest {
			return fmt.Errorf("process %d ends on %s, not on %s", i, st, highest)
		}
	}
	return nil
}

// TestStoreSchedules guards against processes that go back to an earlier publication or
// stay divided between two. Publications reach processes in any order, incomplete,
// twice, and in conflict with each other. A domain out of service would return by
// itself, or two entries would permanently serve by different rules.
func TestStoreSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if err := runSchedule(draw, func() publicationStore { return new(Store) }); err != nil {
			t.Fatal(err)
		}
	})
	broken := make(map[string]int)
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		draw := func(_ string, n int) int { return r.IntN(n) }
		assert.NilError(t, runSchedule(draw, func() publicationStore { return new(Store) }))
		if err := runSchedule(draw, func() publicationStore { return new(naiveStore) }); err != nil {
			broken[strings.Fields(err.Error())[2]]++
		}
	}
	t.Logf("the naive store violated a guarantee in these numbers of 100 schedules: %v", broken)
	assert.Assert(t, broken["went"] > 0 && broken["runs"] > 0, "%v", broken)
}
