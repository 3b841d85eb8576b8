package bench

import (
	"fmt"
	"io"

	"chestnutstep.example/chestnutstep/fleet"
)

// usageSpan records the CPU time and resident memory of processes at the beginning
// and the end of a measurement.
type usageSpan struct {
	processes []*fleet.Process
	before    []fleet.Usage
	after     []fleet.Usage
}

func (m *usageSpan) begin() error {
	var err error
	m.before, err = usages(m.processes)
	return err
}

func (m *usageSpan) end() error {
	var err error
	m.after, err = usages(m.processes)
	return err
}

func usages(ps []*fleet.Process) ([]fleet.Usage, error) {
	out := make([]fleet.Usage, len(ps))
	for i, p := range ps {
		u, err := p.Usage()
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

// print writes the resident memory of each process and its growth per stream. The
// figures are upper bounds: resident memory includes free heap that the runtime has
// not returned to the operating system.
func (m *usageSpan) print(w io.Writer, streams int) {
	for i, p := range m.processes {
		growth := m.after[i].Resident - m.before[i].Resident
		fmt.Fprintf(w, "  %-16s %d MB resident, %d KB a stream\n",
			p.Name, m.after[i].Resident>>20, growth/int64(streams)>>10)
	}
}
