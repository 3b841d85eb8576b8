package member_test

import (
	"fmt"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

// A refusal by a host's agent counts for more than a list that lags.
func ExampleList() {
	var l member.List
	now := time.Now()
	l.Learn(now, []member.Host{{Name: "east1"}, {Name: "east2"}})
	l.Refuse(now, "east1")
	l.Learn(now.Add(time.Second), []member.Host{{Name: "east1"}, {Name: "east2"}})
	fmt.Println(l.Leaving(now.Add(time.Second), "east1"), l.Leaving(now.Add(time.Second), "east2"))
	// Output: true false
}
