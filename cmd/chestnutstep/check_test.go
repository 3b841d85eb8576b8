package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/config"
)

const sample = `{
  "version": 1,
  "domains": [{"name": "a", "region": "r"}],
  "hosts": [{"name": "a1", "domain": "a"}],
  "models": [{"name": "m", "kind": "engine", "slots": 4, "cold": 1}],
  "targets": [{"name": "t", "host": "a1", "model": "m", "agent": "10.0.0.1:7000"}],
  "budget": {"reads": 10},
}`

// TestCheckAndPack guards against check, pack and config disagreeing on the
// format: a publication that check accepts is split by pack into files from
// which config restores it.
func TestCheckAndPack(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "one.json")
	assert.NilError(t, os.WriteFile(file, []byte(sample), 0o600))
	next := filepath.Join(dir, "two.json")
	changed := strings.NewReplacer(`"version": 1`, `"version": 2`, `"agent"`, `"out": true, "agent"`).Replace(sample)
	assert.NilError(t, os.WriteFile(next, []byte(changed), 0o600))

	var out strings.Builder
	assert.NilError(t, (&checkOptions{file: file}).run(&out))
	assert.NilError(t, (&checkOptions{file: next, against: file, loads: []string{"t=3"}}).run(&out))
	assert.Assert(t, strings.Contains(out.String(), "model m: NO target is left in service"), out.String())
	assert.ErrorContains(t, (&checkOptions{file: next, against: file, loads: []string{"t"}}).run(&out), "TARGET=NUMBER")

	out.Reset()
	assert.NilError(t, (&packOptions{file: file, dir: dir}).run(&out))
	assert.NilError(t, (&packOptions{file: next, dir: dir}).run(&out))
	assert.Equal(t, strings.Count(out.String(), "same"), 3, out.String())
	root, err := os.ReadFile(filepath.Join(dir, config.RootName))
	assert.NilError(t, err)
	files, err := filepath.Glob(filepath.Join(dir, config.PartPrefix, "*"))
	assert.NilError(t, err)
	parts := make(map[string][]byte)
	for _, f := range files {
		parts[filepath.Base(f)], err = os.ReadFile(f)
		assert.NilError(t, err)
	}
	p, err := config.Unpack(root, parts)
	assert.NilError(t, err)
	assert.Equal(t, p.Version, uint64(2))
}

// TestPackRefuses guards against packing an invalid publication. The error
// lists all mistakes, and no files are written.
func TestPackRefuses(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "bad.json")
	bad := strings.NewReplacer(`"slots": 4`, `"slots": 0`, `"domain": "a"`, `"domain": "b"`).Replace(sample)
	assert.NilError(t, os.WriteFile(file, []byte(bad), 0o600))
	err := (&packOptions{file: file, dir: dir}).run(new(strings.Builder))
	assert.ErrorContains(t, err, `hosts[0].domain: unknown domain "b"`)
	assert.ErrorContains(t, err, `models[0].slots`)
	_, err = os.Stat(filepath.Join(dir, "chestnut"))
	assert.Assert(t, os.IsNotExist(err))
}
