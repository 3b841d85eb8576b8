package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// ChurnConfig returns the recorded load for comparing policies: 100 engines with 8.5 running
// requests each on average, chats that return after two minutes on average, half of all requests
// canceled, and an engine restart every 20 s. If domain is set, a third of the fleet is taken out
// of service for 90 s.
func ChurnConfig(multiple float64, p Policy, domain bool) Config {
	cfg := Config{
		Seed:     20261202,
		Duration: 30 * time.Minute,
		Warmup:   10 * time.Minute,
		Streams: []Stream{{
			Workspace:   "desk",
			Class:       chestnutstep.ClassNormal,
			Rate:        156,
			Chats:       18700,
			Answer:      6 * time.Second,
			Prefill:     1500 * time.Millisecond,
			Cost:        400,
			Timeout:     time.Minute,
			Patience:    2 * time.Second,
			CancelRatio: 0.5,
		}},
		Policy:  p,
		Targets: 100,
		Domains: 3,
		Model: chestnutstep.Model{
			Name: "chat", Multiple: multiple, Floor: 4, Slots: 32, QueueLimit: 64, ColdCap: 4,
		},
		MaxTargets:      4,
		CacheChats:      400,
		RestartInterval: 20 * time.Second,
		DownTime:        5 * time.Second,
		FragileTime:     5 * time.Second,
		NoticeDelay:     2 * time.Second,
		ImportTime:      300 * time.Millisecond,
	}
	if domain {
		cfg.LeaveAt, cfg.ReturnAt = 15*time.Minute, 16*time.Minute+30*time.Second
	}
	return cfg
}
