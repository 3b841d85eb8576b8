package config

// pendingParts holds parts that came before their publication was whole. It is
// bounded, as a peer that names ever new parts would otherwise fill the memory.
type pendingParts struct {
	parts map[string][]byte
	order []string // oldest first
	size  int
}

func (sp *pendingParts) get(hash string) ([]byte, bool) {
	raw, ok := sp.parts[hash]
	return raw, ok
}

// add keeps a part and drops the oldest ones beyond the bound.
func (sp *pendingParts) add(hash string, raw []byte) {
	if _, ok := sp.parts[hash]; ok {
		return
	}
	if sp.parts == nil {
		sp.parts = make(map[string][]byte)
	}
	sp.parts[hash] = raw
	sp.order = append(sp.order, hash)
	sp.size += len(raw)
	for sp.size > maxPendingBytes {
		sp.size -= len(sp.parts[sp.order[0]])
		delete(sp.parts, sp.order[0])
		sp.order = sp.order[1:]
	}
}

func (sp *pendingParts) clear() { *sp = pendingParts{} }
