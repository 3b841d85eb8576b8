package chestnutstep

import "context"

// CacheListing is a target's answer to a listing of its cache.
type CacheListing struct {
	Parts []PromptPart
	// Headers are those of the answer, also of one that lists nothing.
	Headers TargetHeaders
}

// CacheLister lists the prompt parts that targets have cached.
type CacheLister interface {
	// ListParts lists the parts in a target's cache. Each call costs the target work,
	// so calls must be infrequent.
	ListParts(ctx context.Context, address string) (CacheListing, error)
}
