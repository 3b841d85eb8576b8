package demo

import "chestnutstep.example/chestnutstep/fleet"

// Fleet is the fleet of the demo, not started: three failure domains with an
// engine each, two plain services, two entries. Engines start cold and fall
// over if they are given more than they can carry.
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
