package fleet

// Settings is the settings file of a process, with the fields that a fleet on
// loopback needs. It is not config.Settings, because it is written as an
// operator would write it, without defaults.
type Settings struct {
	Name     string          `json:"name"`
	Host     string          `json:"host"`
	Domain   string          `json:"domain"`
	Region   string          `json:"region"`
	Listen   string          `json:"listen"`
	Peer     string          `json:"peer,omitempty"`
	Admin    string          `json:"admin"`
	Platform string          `json:"platform"`
	Peers    []string        `json:"peers,omitempty"`
	Target   *TargetSettings `json:"target,omitempty"`
	Drain    string          `json:"drain,omitempty"`
	Linger   string          `json:"linger,omitempty"`
}

// TargetSettings identifies the target of an agent.
type TargetSettings struct {
	Name string `json:"name"`
	URL  string `json:"url"`
	Kind string `json:"kind"`
}

// region is the only region of a fleet on loopback.
const region = "region-1"

// maxPeers is the number of agents that are configured as peers of a process
// until it has a publication. With four, at least one is usually running.
const maxPeers = 4
