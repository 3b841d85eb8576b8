package config

import (
	"chestnutstep.example/chestnutstep"
)

// maxPublicationBytes is the maximum size of a publication's file in bytes. It is a sixteenth
// of a process's memory; a publication of 3,000 targets takes less than a megabyte.
const maxPublicationBytes = 4 << 20

// Parse decodes and checks a publication as operators write it. The error
// (ErrInvalid) lists all problems, with name as the name of the file.
func Parse(name string, raw []byte) (*chestnutstep.Publication, error) {
	if len(raw) > maxPublicationBytes {
		return nil, ErrInvalid{Problems: []Problem{{File: name, Text: "larger than 4 MiB"}}}
	}
	d := document{file: name, raw: raw}
	p := new(chestnutstep.Publication)
	d.read(p)
	var ps problems
	checkPublication(&ps, p)
	if err := d.mergeProblems(ps.list); err != nil {
		return nil, err
	}
	return p, nil
}

// Check returns an ErrInvalid with all rules that a publication breaks, by path. A
// process checks each publication that it receives before it applies it, as it can't rely
// on operators having checked it.
func Check(p *chestnutstep.Publication) error {
	var ps problems
	checkPublication(&ps, p)
	return ps.err()
}
