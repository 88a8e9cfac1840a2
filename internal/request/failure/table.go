package failure

import (
	"net/http"
	"time"
)

const (
	shortRetryDelay = 250 * time.Millisecond
	longRetryDelay  = 2 * time.Second
)

var table = map[Kind]Row{
	InvalidRequest:    {http.StatusBadRequest, No, No, Never},
	TooLarge:          {http.StatusRequestEntityTooLarge, No, No, Never},
	TicketRequired:    {http.StatusPreconditionRequired, No, No, 0},
	TicketInvalid:     {http.StatusForbidden, No, No, 0},
	TicketExpired:     {http.StatusGone, No, Unknown, Never},
	TicketReused:      {http.StatusConflict, No, No, Never},
	RecordLost:        {http.StatusGone, No, Unknown, Never},
	HolderUnreachable: {http.StatusServiceUnavailable, No, Unknown, longRetryDelay},
	NotReady:          {http.StatusServiceUnavailable, No, No, longRetryDelay},
	Draining:          {http.StatusServiceUnavailable, No, No, shortRetryDelay},
	NotSupported:      {http.StatusNotImplemented, No, No, Never},
	NeverRunnable:     {http.StatusUnprocessableEntity, No, No, Never},
	NoTargets:         {http.StatusServiceUnavailable, No, No, longRetryDelay},
	OverQuota:         {http.StatusTooManyRequests, No, No, shortRetryDelay},
	Overloaded:        {http.StatusServiceUnavailable, No, No, shortRetryDelay},
	DeadlineTooShort:  {http.StatusServiceUnavailable, No, No, shortRetryDelay},
	Cancelled:         {http.StatusConflict, No, No, Never},
	CancelledRunning:  {http.StatusConflict, Unknown, Unknown, Never},
	ExpiredQueued:     {http.StatusServiceUnavailable, No, No, shortRetryDelay},
	ExpiredRunning:    {http.StatusGatewayTimeout, Unknown, Unknown, Never},
	TaskFailed:        {http.StatusBadGateway, Yes, Yes, Never},
	TaskCrashed:       {http.StatusBadGateway, Yes, Yes, Never},
	NotPlaced:         {http.StatusBadGateway, Unknown, Unknown, Never},
	OutcomeUnknown:    {http.StatusGatewayTimeout, Unknown, Unknown, Never},
	AnswerLost:        {http.StatusGatewayTimeout, Unknown, Unknown, shortRetryDelay},
	StaleVersion:      {http.StatusConflict, No, No, Never},
	VersionTaken:      {http.StatusConflict, No, No, Never},
	NotAllowed:        {http.StatusForbidden, No, No, Never},
	NoQuorum:          {http.StatusServiceUnavailable, No, No, longRetryDelay},
	Undecided:         {http.StatusGatewayTimeout, Unknown, Unknown, shortRetryDelay},
	NotFound:          {http.StatusNotFound, No, No, Never},
	Internal:          {http.StatusInternalServerError, Unknown, Unknown, longRetryDelay},
}

// Lookup returns the row of k, or the row of Internal if k is not in the list.
func Lookup(k Kind) Row {
	if row, ok := table[k]; ok {
		return row
	}
	return table[Internal]
}

// Kinds returns every kind that has a row, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := range table {
		kinds = append(kinds, k)
	}
	return kinds
}
