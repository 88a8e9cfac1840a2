package dispatch

// taskQueue is a FIFO queue of tasks that counts what it holds. Tasks of
// answered jobs are skipped when popped.
type taskQueue struct {
	items []taskRef
	head  int
	tasks int   // tasks of unanswered jobs
	bytes int64 // their payload bytes
}

func (q *taskQueue) push(r taskRef) {
	q.items = append(q.items, r)
	q.count(r, 1)
}

// pushFront puts back a task that was popped.
func (q *taskQueue) pushFront(r taskRef) {
	if q.head > 0 {
		q.head--
		q.items[q.head] = r
	} else {
		q.items = append([]taskRef{r}, q.items...)
	}
	q.count(r, 1)
}

// pop returns the first task of an unanswered job.
func (q *taskQueue) pop() (taskRef, bool) {
	for q.head < len(q.items) {
		r := q.items[q.head]
		q.items[q.head] = taskRef{}
		q.head++
		q.compact()
		if !r.job.done {
			q.count(r, -1)
			return r, true
		}
	}
	return taskRef{}, false
}

const compactAt = 1024 // popped places that are kept before the queue moves up

func (q *taskQueue) compact() {
	if q.head < compactAt || q.head*2 < len(q.items) {
		return
	}
	q.items = append(q.items[:0], q.items[q.head:]...)
	q.head = 0
}

// discard takes n tasks of an answered job out of the counts.
func (q *taskQueue) discard(n int, bytes int64) {
	q.tasks -= n
	q.bytes -= bytes
}

func (q *taskQueue) count(r taskRef, sign int) {
	q.tasks += sign
	q.bytes += int64(sign * len(r.task().Payload))
}
