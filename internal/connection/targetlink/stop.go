package targetlink

import (
	"context"
	"fmt"
	"net/http"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/workers"
)

// Stop asks for a task to be stopped and returns nil once it no longer runs.
// Its errors are workers.ErrUnsupported for a target without stops, and those
// of the transport.
func (l *Links) Stop(ctx context.Context, t workers.Task) error {
	ctx, cancel := context.WithDeadline(ctx, t.LeaseEnd)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.Address+wire.PathTasks, nil)
	if err != nil {
		return err
	}
	request.Header.Set(wire.TaskHeader, l.config.AttemptNamePrefix+"."+t.Name)
	response, err := l.stops.RoundTrip(request)
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
