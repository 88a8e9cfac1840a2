package failure

import (
	"net/http"
	"time"
)

const (
	soon  = 250 * time.Millisecond
	later = 2 * time.Second
)

var table = map[Kind]Row{
	InvalidRequest:    {http.StatusBadRequest, No, No, Never},
	TooLarge:          {http.StatusRequestEntityTooLarge, No, No, Never},
	TicketRequired:    {http.StatusPreconditionRequired, No, No, 0},
	TicketInvalid:     {http.StatusForbidden, No, No, 0},
	TicketExpired:     {http.StatusGone, No, Unknown, Never},
	TicketReused:      {http.StatusConflict, No, No, Never},
	RecordLost:        {http.StatusGone, No, Unknown, Never},
	HolderUnreachable: {http.StatusServiceUnavailable, No, Unknown, later},
	NotReady:          {http.StatusServiceUnavailable, No, No, later},
	Draining:          {http.StatusServiceUnavailable, No, No, soon},
	NotSupported:      {http.StatusNotImplemented, No, No, Never},
	NeverRunnable:     {http.StatusUnprocessableEntity, No, No, Never},
	NoTargets:         {http.StatusServiceUnavailable, No, No, later},
	OverQuota:         {http.StatusTooManyRequests, No, No, soon},
	Overloaded:        {http.StatusServiceUnavailable, No, No, soon},
	DeadlineTooShort:  {http.StatusServiceUnavailable, No, No, soon},
	Cancelled:         {http.StatusConflict, No, No, Never},
	CancelledRunning:  {http.StatusConflict, Unknown, Unknown, Never},
	ExpiredQueued:     {http.StatusServiceUnavailable, No, No, soon},
	ExpiredRunning:    {http.StatusGatewayTimeout, Unknown, Unknown, Never},
	TaskFailed:        {http.StatusBadGateway, Yes, Yes, Never},
	NotPlaced:         {http.StatusBadGateway, Unknown, Unknown, Never},
	OutcomeUnknown:    {http.StatusGatewayTimeout, Unknown, Unknown, Never},
	AnswerLost:        {http.StatusGatewayTimeout, Unknown, Unknown, soon},
	StaleVersion:      {http.StatusConflict, No, No, Never},
	VersionTaken:      {http.StatusConflict, No, No, Never},
	NotAllowed:        {http.StatusForbidden, No, No, Never},
	NoQuorum:          {http.StatusServiceUnavailable, No, No, later},
	Undecided:         {http.StatusGatewayTimeout, Unknown, Unknown, soon},
	NotFound:          {http.StatusNotFound, No, No, Never},
	Internal:          {http.StatusInternalServerError, Unknown, Unknown, later},
}

// Lookup returns the row of k. A kind outside the list gets Internal's row.
func Lookup(k Kind) Row {
	if row, ok := table[k]; ok {
		return row
	}
	return table[Internal]
}

// Kinds returns every kind that has a row, in no order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}
