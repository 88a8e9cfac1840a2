package measure

import (
	"bytes"
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/job"
)

// freeTimes is a heap of the times at which slots become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(x any)        { *f = append(*f, x.(time.Duration)) }
func (f *freeTimes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// IdealTimes computes the response times under a perfect central dispatcher:
// one queue in order of arrival, all slots known, no message takes time.
func IdealTimes(arrivals []Arrival, slots int) []time.Duration {
	free := make(freeTimes, slots)
	took := make([]time.Duration, len(arrivals))
	for i, a := range arrivals {
		for _, run := range a.Run {
			end := max(free[0], a.At) + run
			free[0] = end
			heap.Fix(&free, 0)
			took[i] = max(took[i], end-a.At)
		}
	}
	return took
}

// RunDirect sends arrivals straight to the targets at addresses, from one
// central queue in this process. It is the measured lower limit: the same
// HTTP starts without an entry host in between.
func RunDirect(ctx context.Context, addresses []string, slots int, arrivals []Arrival) []Outcome {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}
	defer client.CloseIdleConnections()
	free := make(chan string, len(addresses)*slots)
	for range slots {
		for _, address := range addresses {
			free <- address
		}
	}
	outcomes := make([]Outcome, len(arrivals))
	var group sync.WaitGroup
	begin := time.Now()
	for i, a := range arrivals {
		due := begin.Add(a.At)
		time.Sleep(time.Until(due))
		group.Go(func() {
			complete := directJob(ctx, client, free, a)
			outcomes[i] = Outcome{time.Since(due), complete, true}
		})
	}
	group.Wait()
	return outcomes
}

func directJob(ctx context.Context, client *http.Client, free chan string, a Arrival) bool {
	tasks := a.tasks()
	faults := make([]error, len(tasks))
	var group sync.WaitGroup
	for i, t := range tasks {
		address := <-free
		group.Go(func() {
			faults[i] = directTask(ctx, client, address, a.Label, t)
			free <- address
		})
	}
	group.Wait()
	for _, err := range faults {
		if err != nil {
			return false
		}
	}
	return true
}

func directTask(ctx context.Context, client *http.Client, address, label string, t job.Task) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathTasks, bytes.NewReader(t.Payload))
	if err != nil {
		return err
	}
	request.Header.Set(wire.TaskHeader, label+"/"+t.ID)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the target answered %s", response.Status)
	}
	return nil
}

// TargetAddresses asks an entry host for the addresses of its targets.
func TargetAddresses(entry string) ([]string, error) {
	response, err := http.Get("http://" + entry + wire.PathTargets)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var list []wire.TargetStatus
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, err
	}
	addresses := make([]string, len(list))
	for i, t := range list {
		addresses[i] = t.Address
	}
	return addresses, nil
}
