package config

// pendingParts holds parts that arrived before their publication was complete. Its size is
// limited, as a peer that keeps sending new parts could otherwise exhaust the memory.
type pendingParts struct {
	parts map[string][]byte
	order []string // oldest first
	size  int
}

func (pp *pendingParts) get(hash string) ([]byte, bool) {
	raw, ok := pp.parts[hash]
	return raw, ok
}

// add stores a part and evicts the oldest ones beyond the size limit.
func (pp *pendingParts) add(hash string, raw []byte) {
	if _, ok := pp.parts[hash]; ok {
		return
	}
	if pp.parts == nil {
		pp.parts = make(map[string][]byte)
	}
	pp.parts[hash] = raw
	pp.order = append(pp.order, hash)
	pp.size += len(raw)
	for pp.size > maxPendingBytes {
		pp.size -= len(pp.parts[pp.order[0]])
		delete(pp.parts, pp.order[0])
		pp.order = pp.order[1:]
	}
}

func (pp *pendingParts) clear() { *pp = pendingParts{} }
