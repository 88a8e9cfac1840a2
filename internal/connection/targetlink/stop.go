package targetlink

import (
	"context"
	"fmt"
	"net/http"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/workers"
)

// Stop sends a stop request for a task and returns nil once the task neither runs nor
// will be started. It fails with workers.ErrUnsupported if the target does not
// support stop requests, and otherwise with the error of the transport or the
// unexpected status. It waits at most until the target's lease ends.
func (l *Links) Stop(ctx context.Context, t workers.Task) error {
	ctx, cancel := context.WithDeadline(ctx, t.LeaseEnd)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Address+wire.PathTasks, nil)
	if err != nil {
		return err
	}
	request.Header.Set(wire.TaskHeader, l.config.AttemptNamePrefix+"."+t.Name)
	response, err := l.stopTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return workers.ErrUnsupported
	}
	return fmt.Errorf("the target answered %s", response.Status)
}
