package config

import (
	"chestnutstep.example/chestnutstep"
)

// maxPublicationBytes bounds a publication's file in bytes. It is a sixteenth of a
// process's memory; a publication of 3,000 targets takes less than a megabyte.
const maxPublicationBytes = 4 << 20

// Parse reads and checks a publication as operators write it. The error
// (ErrInvalid) lists all problems; name stands for the file in them.
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

// Check lists all rules that a publication breaks, by path (ErrInvalid). A
// process checks what it was sent before it puts it in force, as it can't know
// whether operators did.
func Check(p *chestnutstep.Publication) error {
	var ps problems
	checkPublication(&ps, p)
	return ps.err()
}
