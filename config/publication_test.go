package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// TestPublication runs the scripts in testdata/publication. Each contains the file of a
// publication and the problems or the effects that are reported to the operator.
func TestPublication(t *testing.T) {
	datadriven.Walk(t, "testdata/publication", func(t *testing.T, path string) {
		var old *chestnutstep.Publication
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p, err := Parse("p.json", []byte(d.Input))
			if err != nil {
				assert.Assert(t, IsErrInvalid(err))
				return err.Error() + "\n"
			}
			switch d.Cmd {
			case "diff":
				return strings.Join(Diff(old, p, samples(t, d)), "\n") + "\n"
			default:
				old = p
				return fmt.Sprintf("fine: version %d, %d targets\n", p.Version, len(p.Targets))
			}
		})
	})
}

// samples parses loads=(t1:3,t2:5).
func samples(t *testing.T, d *datadriven.TestData) []chestnutstep.Sample {
	arg, _ := d.Arg("loads")
	var list []chestnutstep.Sample
	for _, v := range arg.Vals {
		target, load, _ := strings.Cut(v, ":")
		n, err := strconv.ParseFloat(load, 64)
		assert.NilError(t, err)
		list = append(list, chestnutstep.Sample{Target: target, Load: n})
	}
	return list
}

// TestPackSmallChange guards against a small change that is costly to distribute. If the
// publication were one value, each of thousands of processes would read half a megabyte
// when an operator changes one target of a large fleet.
func TestPackSmallChange(t *testing.T) {
	for _, n := range []int{6, 300, 2700} {
		p := fleet(1, n, n/10)
		root, parts := Pack(p)
		back, err := Unpack(root, parts)
		assert.NilError(t, err)
		again, _ := Pack(back)
		assert.Equal(t, string(again), string(root), "unpacked and packed again")

		p.Targets[n/2].Out, p.Version = true, 2
		rand.New(rand.NewPCG(1, 2)).Shuffle(n, func(i, j int) { p.Targets[i], p.Targets[j] = p.Targets[j], p.Targets[i] })
		root2, parts2 := Pack(p)
		fetched, total := 0, 0
		for hash, raw := range parts2 {
			total += len(raw)
			if parts[hash] == nil {
				fetched += len(raw)
			}
		}
		t.Logf("%d targets: %d parts of %d bytes; one changed target costs a root of %d and parts of %d bytes",
			n, len(parts2), total, len(root2), fetched)
		assert.Assert(t, len(root2)+fetched < 20<<10)
		for _, raw := range parts2 {
			assert.Assert(t, len(raw) < MaxValueBytes)
		}
	}
}

// TestUnpackRefuses guards against applying an incomplete publication: a part is truncated
// or altered in transit, or contains a field that this version does not support.
func TestUnpackRefuses(t *testing.T) {
	root, parts := Pack(fleet(1, 40, 4))
	hashes := make([]string, 0, len(parts))
	for hash := range parts {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		raw := parts[hash]
		parts[hash] = raw[:len(raw)-1]
		_, err := Unpack(root, parts)
		assert.Assert(t, IsErrPart(err), "%v", err)
		delete(parts, hash)
		_, err = Unpack(root, parts)
		assert.Assert(t, IsErrPart(err), "%v", err)
		parts[hash] = raw
	}
	for _, part := range []string{`{"budget":{"reads":50},"gravity":1}`, `{} {}`, `{"domains":3}`, ``} {
		r := Root{Version: 2, ReadRate: 50, Nodes: 1, Parts: []string{Hash([]byte(part))}}
		_, err := Unpack(encode(r), map[string][]byte{r.Parts[0]: []byte(part)})
		assert.Assert(t, IsErrInvalid(err), "%v", err)
	}
}

func FuzzParse(f *testing.F) {
	small, err := json.Marshal(fleet(1, 3, 1))
	assert.NilError(f, err)
	f.Add(small)
	f.Add([]byte(`{"version":18446744073709551616,"targets":[{}],"domains":[{"name":"a"},{"name":"a"}]}`))
	f.Add([]byte(`{"models":[{"multiple":1e308}],"budget":null,"profiles":[{"timeout":"-1ns"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Parse("f", raw)
		if err != nil {
			assert.Assert(t, IsErrInvalid(err), "%v", err)
			return
		}
		assert.NilError(t, Check(p))
		root, parts := Pack(p)
		_, err = Unpack(root, parts)
		assert.NilError(t, err, "a publication that passes the check must unpack")
	})
}

func FuzzUnpack(f *testing.F) {
	root, parts := Pack(fleet(1, 2, 1))
	for _, raw := range parts {
		f.Add(root, raw)
	}
	f.Add([]byte(`{"version":1,"reads":1,"nodes":1,"parts":[]}`), []byte(`{"targets":[{}]}`))
	f.Fuzz(func(t *testing.T, root, part []byte) {
		p, err := Unpack(root, map[string][]byte{Hash(part): part})
		if err == nil {
			assert.NilError(t, Check(p))
			return
		}
		assert.Assert(t, IsErrInvalid(err) || IsErrPart(err), "%v", err)
	})
}
