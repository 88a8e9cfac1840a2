package target

import (
	"net/http"
	"sync"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

// runningTask allows a stop request to stop a task and to wait for its end.
type runningTask struct {
	once  sync.Once
	stop  chan struct{} // closed to stop the task
	ended chan struct{} // closed when the task no longer runs
}

// removeTask removes a task that no longer runs from the running tasks and reports whether
// it was stopped.
func (t *Target) removeTask(header string, r *runningTask) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tasks, header)
	close(r.ended)
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// serveStop handles DELETE wire.PathTasks. It prevents a later start of the task, stops
// the task if it runs and answers once the task no longer runs.
func (t *Target) serveStop(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(wire.TaskHeader)
	t.mu.Lock()
	t.stopped[header] = true
	task := t.tasks[header]
	t.mu.Unlock()
	if task != nil {
		task.once.Do(func() { close(task.stop) })
		<-task.ended
	}
	w.WriteHeader(http.StatusNoContent)
}
