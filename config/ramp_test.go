package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// rampPart is a part as a RAMP writer stores it: under a fixed name, with the
// version of the write and the number of its siblings.
type rampPart struct {
	Version  uint64
	Siblings int
	Content  []byte
}

// platformReader reads a publication from the fake platform.
type platformReader struct {
	t     *testing.T
	url   string
	parts map[string][]byte
}

func (r *platformReader) get(name string) []byte {
	res, err := http.Get(r.url + "/v/" + name)
	assert.NilError(r.t, err)
	defer res.Body.Close()
	assert.Equal(r.t, res.StatusCode, 200, name)
	raw, err := io.ReadAll(res.Body)
	assert.NilError(r.t, err)
	return raw
}

// readRoot reads the root and the new parts, as the fleet does.
func (r *platformReader) readRoot() {
	parsed, err := ParseRoot(r.get(RootName))
	assert.NilError(r.t, err)
	for _, hash := range parsed.Parts {
		if r.parts[hash] == nil {
			r.parts[hash] = r.get(PartPrefix + hash)
		}
	}
}

// readRAMP reads all parts in one round. In a second round it reads, by version, the parts
// that are older than a sibling.
func (r *platformReader) readRAMP(n int) {
	list := make([]rampPart, n)
	var newest uint64
	for i := range list {
		assert.NilError(r.t, json.Unmarshal(r.get(fmt.Sprintf("ramp/%d", i)), &list[i]))
		newest = max(newest, list[i].Version)
	}
	for i := range list {
		if list[i].Version < newest {
			r.get(fmt.Sprintf("ramp/%d/%d", i, newest))
		}
	}
}

// TestRampReads compares two methods of reading a publication of many parts without mixing two
// publications, by the number of calls, which is what the service limits.
func TestRampReads(t *testing.T) {
	var platform fake.Platform
	srv := httptest.NewServer(&platform)
	defer srv.Close()
	n := 0
	publish := func(p *chestnutstep.Publication) {
		root, parts := Pack(p)
		parsed, err := ParseRoot(root)
		assert.NilError(t, err)
		n = len(parsed.Parts)
		for i, hash := range parsed.Parts {
			raw, err := json.Marshal(rampPart{p.Version, n, parts[hash]})
			assert.NilError(t, err)
			platform.Put(fmt.Sprintf("ramp/%d/%d", i, p.Version), raw)
			platform.Put(fmt.Sprintf("ramp/%d", i), raw)
			platform.Put(PartPrefix+hash, parts[hash])
		}
		platform.Put(RootName, root)
	}
	calls := func(read func()) int64 {
		before := platform.Calls().Read
		read()
		return platform.Calls().Read - before
	}
	r := &platformReader{t: t, url: srv.URL, parts: make(map[string][]byte)}
	p := fleet(1, 2700, 270)
	publish(p)
	rootStart, rampStart := calls(r.readRoot), calls(func() { r.readRAMP(n) })
	p.Targets[0].Out, p.Version = true, 2
	publish(p)
	rootChange, rampChange := calls(r.readRoot), calls(func() { r.readRAMP(n) })
	old := platform.Put("ramp/0", bytes.Clone(r.get("ramp/0/1"))) // one part is not written yet
	rampRace := calls(func() { r.readRAMP(n) })
	t.Logf("%d parts: calls at the start: root %d, RAMP %d; for a change: root %d, RAMP %d, during a write %d (revision %d)",
		n, rootStart, rampStart, rootChange, rampChange, rampRace, old)
	assert.Assert(t, rootStart <= rampStart+1)
	assert.Assert(t, rootChange*10 < rampChange)
}
