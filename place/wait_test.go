package place_test

import (
	"fmt"

	"chestnutstep.example/chestnutstep/place"
)

// A request waits as long as reading its prefix takes, up to a limit.
func ExamplePatience() {
	for _, tokens := range []int{0, 600, 10000, 60000} {
		fmt.Println(tokens, place.Patience(tokens).Milliseconds(), "ms")
	}
	// Output:
	// 0 0 ms
	// 600 10 ms
	// 10000 166 ms
	// 60000 200 ms
}
