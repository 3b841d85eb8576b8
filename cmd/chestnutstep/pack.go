package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/config"
)

// packOptions are the arguments of the pack subcommand.
type packOptions struct {
	file string
	dir  string
}

// packCommand returns the pack subcommand and the function that runs it.
func packCommand() (*flaggy.Subcommand, func() error) {
	o := &packOptions{}
	c := flaggy.NewSubcommand("pack")
	c.Description = "split a publication into a root and parts, one file for each of the platform's values"
	c.AddPositionalValue(&o.file, "FILE", 1, true, "the publication, JSON with comments")
	c.AddPositionalValue(&o.dir, "DIR", 2, true, "where the files go, each under the name of its value")
	return c, func() error { return o.run(os.Stdout) }
}

// run writes the parts before the root. If the files are copied to the platform
// in the order in which they are printed, the platform never has a root whose
// parts are missing.
func (o *packOptions) run(w io.Writer) error {
	p, err := readPublication(o.file)
	if err != nil {
		return err
	}
	root, parts := config.Pack(p)
	r, err := config.ParseRoot(root)
	if err != nil {
		return err
	}
	for _, hash := range r.Parts {
		if err := o.write(w, config.PartPrefix+hash, parts[hash]); err != nil {
			return err
		}
	}
	return o.write(w, config.RootName, root)
}

// write writes one file and prints whether it is new. An existing part is not
// written again, because its name is the hash of its content.
func (o *packOptions) write(w io.Writer, name string, raw []byte) error {
	path := filepath.Join(o.dir, filepath.FromSlash(name))
	if _, err := os.Stat(path); err == nil && name != config.RootName {
		fmt.Fprintf(w, "same %s\n", name)
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return errors.Wrap(err, "pack")
	}
	tmp := path + ".new"
	if err := os.WriteFile(tmp, raw, 0o644); err != nil {
		return errors.Wrap(err, "pack")
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Wrap(err, "pack")
	}
	fmt.Fprintf(w, "new  %s %d bytes\n", name, len(raw))
	return nil
}
