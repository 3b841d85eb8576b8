package chestnutstep

import "context"

// Caches asks targets what prompt parts they hold.
type Caches interface {
	// Held lists the parts in a target's cache. It costs the target some work:
	// ask rarely.
	Held(ctx context.Context, address string) ([]Part, error)
}
