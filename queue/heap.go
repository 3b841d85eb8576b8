package queue

// heapItem is an element of a heap: it defines the order and stores its index.
type heapItem[T any] interface {
	less(other T) bool
	heapIndex() *int
}

// heap is a binary heap that supports removal from the middle, because callers cancel most of
// the waiting requests. container/heap would need five methods of boilerplate for each of the
// three orders of a queue.
type heap[T heapItem[T]] struct {
	items []T
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*x.heapIndex() = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// fix restores the order after x changed.
func (h *heap[T]) fix(x T) {
	i := *x.heapIndex()
	h.up(i)
	h.down(*x.heapIndex())
}

func (h *heap[T]) remove(x T) {
	i, last := *x.heapIndex(), len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(h.items[i])
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].less(h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if right := child + 1; right < len(h.items) && h.items[right].less(h.items[child]) {
			child = right
		}
		if !h.items[child].less(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
