package config_test

import (
	"fmt"
	"time"

	"chestnutstep.example/chestnutstep/config"
)

const written = `{
  "version": 1,
  "domains": [{"name": "east", "region": "r"}], // one is enough to begin with
  "hosts": [{"name": "east1", "domain": "east"}],
  "models": [{"name": "m", "kind": "engine", "slots": 8, "cold": 1}],
  "targets": [{"name": "t1", "host": "east1", "model": "m", "agent": "10.0.0.1:7000"}],
  "budget": {"reads": 10},
}`

// Mistakes are reported together, each with its line and field.
func ExampleParse() {
	_, err := config.Parse("fleet.json", []byte(`{
  "version": 0,
  "hosts": [{"name": "east1", "domain": "east"}],
  "budget": {"reads": 10, "writes": 10},
}`))
	fmt.Println(err)
	// Output:
	// fleet.json:2: version: want a version from 1 up
	// fleet.json:3: hosts[0].domain: unknown domain "east"
	// fleet.json:4: budget.writes: unknown field; known here: reads, loads, retries, export
}

// A store accepts only higher versions, regardless of the order in which they arrive.
func ExampleStore() {
	p, err := config.Parse("fleet.json", []byte(written))
	if err != nil {
		fmt.Println(err)
		return
	}
	var s config.Store
	root, parts := config.Pack(p)
	p.Version = 2
	next, nextParts := config.Pack(p)
	now := time.Now()
	fmt.Println(s.Apply(now, next, nextParts), s.View().Publication.Version)
	fmt.Println(config.IsErrStale(s.Apply(now, root, parts)), s.View().Publication.Version)
	// Output:
	// <nil> 2
	// true 2
}
