package node

import "context"

// task is a function that runs until its context ends.
type task func(ctx context.Context)

// run calls the task; it is the body of its goroutine.
func (t task) run(ctx context.Context) { t(ctx) }

// startTasks starts each task in its own goroutine.
func startTasks(ctx context.Context, tasks ...task) {
	for _, t := range tasks {
		go t.run(ctx)
	}
}
