package fleet

// Settings is the settings file of a process, with the fields that a fleet on
// loopback needs. It is not config.Settings: what is written here is what an
// operator would type, defaults left out.
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

// TargetSettings says which target an agent stands beside.
type TargetSettings struct {
	Name string `json:"name"`
	URL  string `json:"url"`
	Kind string `json:"kind"`
}

// region is the only one of a fleet on loopback.
const region = "region-1"

// maxPeers is how many agents a process is told of before it knows a
// publication: enough that one is up.
const maxPeers = 4
