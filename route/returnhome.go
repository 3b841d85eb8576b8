package route

import (
	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// returnHomeOneIn is the average number of requests of a chat served away from its home target
// after which one goes to the home target first. After a failure domain returns, its chats have
// hints to other domains; without this the domain stays idle while the others carry its load (3
// of 4 demo runs gave a returned domain no work at all). With 8, a chat moves home after 8 of
// its requests on average, so that the domain's load grows gradually from an eighth of its
// share, and each chat imports or rebuilds its prefix once instead of several times.
const returnHomeOneIn = 8

// ReturnsHome reports whether this request of a chat served elsewhere goes first to its home:
// the target that ranks first without the hint. The decision is a hash of the request's id, so
// that a retry of the request takes the same path through any entry.
func ReturnsHome(home *chestnutstep.Target, hint, id string) bool {
	if hint == "" || home.Name == hint {
		return false
	}
	return xxhash.Sum64String(id)%returnHomeOneIn == 0
}
