package route

import (
	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// returnHomeOneIn is how many requests of a chat that lives away from its first
// target go to that target first, on average one. It answers a failure domain
// that returns: its chats were served elsewhere meanwhile, their callers hold
// hints to there, and without this the domain stays idle while the others
// carry its load (3 of 4 runs of the demo gave a returned domain no work at
// all). One in 8 moves a chat home after 8 of its requests on average, so that
// the domain's load grows from an eighth of its share and not in one wave, and
// each chat pays for one import or rebuilding of its prefix, not several.
const returnHomeOneIn = 8

// ReturnsHome says whether this request of a chat that lives away goes to its home
// first: the target that ranks first without the hint. The part is drawn from
// the request's id, so that a repeat of the request takes the same way through
// any entry.
func ReturnsHome(home *chestnutstep.Target, hint, id string) bool {
	if hint == "" || home.Name == hint {
		return false
	}
	return xxhash.Sum64String(id)%returnHomeOneIn == 0
}
