package demo

import "chestnutstep.example/chestnutstep/fleet"

// Fleet returns the fleet of the demo without starting it: three failure domains
// with one engine each, two plain services and two entries. Engines start cold
// and crash if they receive more than 4 concurrent requests while cold.
func Fleet(bin, dir string) *fleet.Fleet {
	return &fleet.Fleet{
		Bin:              bin,
		Dir:              dir,
		DomainCount:      3,
		EnginesPerDomain: 1,
		ServiceCount:     2,
		EntryCount:       2,
		EngineFlags: []string{
			"--base", "3ms", "--slope", "200us", "--prefill", "40us",
			"--cold", "4", "--warm", "8", "--slots", "32", "--cache", "60000",
		},
	}
}
