package lint

import (
	"fmt"
	"maps"
	"slices"
)

// Item is a named part of a configuration with the values of its fields as the file has them.
// Secret values must be replaced before.
type Item struct {
	// Kind is the singular of the part's list.
	Kind string
	// Name is empty for a part that exists once.
	Name   string
	Fields map[string]string
}

// The kinds of a difference.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is one difference between two configurations.
type Difference struct {
	Kind   string `json:"kind"`
	Name   string `json:"name,omitempty"`
	Change string `json:"change"`
	// Field, Old and New are set for changed fields. Old or New is empty if only the other
	// configuration has the field.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// String formats the difference as a line.
func (d Difference) String() string {
	s := d.Kind
	if d.Name != "" {
		s += " " + d.Name
	}
	s += ": " + d.Change
	if d.Field == "" {
		return s
	}
	return fmt.Sprintf("%s: %s: %s -> %s", s, d.Field, orAbsent(d.Old), orAbsent(d.New))
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// Diff returns the differences between the parts of two configurations: first what the next one
// adds or changes, in its order, then what it removes.
func Diff(old, next []Item) []Difference {
	before, after := index(old), index(next)
	var list []Difference
	for _, id := range after.order {
		n := after.items[id]
		if o, ok := before.items[id]; ok {
			list = append(list, diffFields(o, n)...)
			continue
		}
		list = append(list, Difference{Kind: n.Kind, Name: n.Name, Change: Added})
	}
	for _, id := range before.order {
		if o := before.items[id]; after.items[id] == nil {
			list = append(list, Difference{Kind: o.Kind, Name: o.Name, Change: Removed})
		}
	}
	return list
}

// indexed holds the items of one configuration by identity.
type indexed struct {
	order []string
	items map[string]*Item
}

// index identifies items by kind and name, and those of the same name by their order.
func index(list []Item) indexed {
	x := indexed{items: make(map[string]*Item, len(list))}
	for i := range list {
		id := list[i].Kind + " " + list[i].Name
		for x.items[id] != nil {
			id += " again"
		}
		x.items[id] = &list[i]
		x.order = append(x.order, id)
	}
	return x
}

func diffFields(old, next *Item) []Difference {
	names := slices.AppendSeq(slices.Collect(maps.Keys(old.Fields)), maps.Keys(next.Fields))
	slices.Sort(names)
	var list []Difference
	for _, name := range slices.Compact(names) {
		if a, b := old.Fields[name], next.Fields[name]; a != b {
			list = append(list, Difference{Kind: next.Kind, Name: next.Name, Change: Changed, Field: name, Old: a, New: b})
		}
	}
	return list
}
