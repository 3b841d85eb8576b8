package member_test

import (
	"fmt"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

// A refusal by a host's agent takes precedence over an outdated list.
func ExampleTracker() {
	var t member.Tracker
	now := time.Now()
	t.ApplyList(now, []member.Host{{Name: "east1"}, {Name: "east2"}})
	t.RecordRefusal(now, "east1")
	t.ApplyList(now.Add(time.Second), []member.Host{{Name: "east1"}, {Name: "east2"}})
	fmt.Println(t.IsLeaving(now.Add(time.Second), "east1"), t.IsLeaving(now.Add(time.Second), "east2"))
	// Output: true false
}
