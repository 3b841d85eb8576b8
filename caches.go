package chestnutstep

import "context"

// CacheLister asks targets what prompt parts they hold.
type CacheLister interface {
	// ListParts lists the parts in a target's cache. It costs the target some work:
	// ask rarely.
	ListParts(ctx context.Context, address string) ([]PromptPart, error)
}
