package route_test

import (
	"fmt"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/route"
)

// The hinted target ranks first while it is in service; a target that is out is not ranked.
func ExampleTable() {
	p := &chestnutstep.Publication{
		Domains: []chestnutstep.Domain{{Name: "bay"}, {Name: "attic", Out: true}},
		Hosts:   []chestnutstep.Host{{Name: "h1", Domain: "bay"}, {Name: "h2", Domain: "bay"}, {Name: "h3", Domain: "attic"}},
		Targets: []chestnutstep.Target{{Name: "t1", Host: "h1"}, {Name: "t2", Host: "h2"}, {Name: "t3", Host: "h3"}},
	}
	table := &route.Table{View: chestnutstep.NewView(p)}
	table.Build()
	for _, hint := range []string{"t1", "t2", "t3"} {
		req := chestnutstep.RankQuery{Workspace: "desk", Chat: "c7", Hint: hint}
		fmt.Print(hint, ":")
		for _, t := range table.Rank(nil, req, 3) {
			fmt.Print(" ", t.Name)
		}
		fmt.Println()
	}
	// Output:
	// t1: t1 t2
	// t2: t2 t1
	// t3: t2 t1
}
