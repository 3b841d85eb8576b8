package chestnutstep

import "context"

// CacheLister lists the prompt parts that targets have cached.
type CacheLister interface {
	// ListParts lists the parts in a target's cache. Each call costs the target work,
	// so calls must be infrequent.
	ListParts(ctx context.Context, address string) ([]PromptPart, error)
}
