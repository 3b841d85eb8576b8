package node

import "context"

// task is a part of a process that runs until its context ends.
type task func(ctx context.Context)

// run is what a goroutine of a process executes.
func (t task) run(ctx context.Context) { t(ctx) }

// startTasks runs the parts of a process side by side.
func startTasks(ctx context.Context, tasks ...task) {
	for _, t := range tasks {
		go t.run(ctx)
	}
}
