package upstream

import "errors"

// Progress is how far an attempt had progressed when it failed.
type Progress int

const (
	// NotSent means that no replica can have executed the request: there was no connection, or the request head was not
	// sent completely.
	NotSent Progress = iota
	// Sent means that the request head was sent completely, so that the request may have been executed.
	Sent
	// ResponseStarted means that the head of the response was received.
	ResponseStarted
)

// AttemptError is returned for an attempt that ended without a complete response.
type AttemptError struct {
	Progress Progress
	Stage    string // the operation that failed, for the error text
	Err      error
}

// Error names the stage in which the attempt failed.
func (e *AttemptError) Error() string { return e.Stage + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// BodyError is returned if the body of a request could not be read completely. The client is the cause, so the error does
// not count against the replica.
type BodyError struct{ Err error }

// Error names the request body as the cause.
func (e *BodyError) Error() string { return "request body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

var (
	// ErrCanceled is returned for a request that was canceled because its client no longer waits for it.
	ErrCanceled = errors.New("request was canceled")
	// ErrBodyStopped is returned by reads of a body that is no longer needed. The cause is neither the client
	// nor the replica.
	ErrBodyStopped = errors.New("request body is no longer needed")
	// ErrConnectionLimit is returned if all of the MaxConnections connections to a replica are in use and none was released
	// before the deadline. A closed pool returns it for each new connection.
	ErrConnectionLimit = errors.New("all connections to the replica are in use")

	errHeadTooLarge         = errors.New("response head and the informational responses before it exceed 64 KiB")
	errProtocolSwitch       = errors.New("replica responded with 101 Switching Protocols without a request to upgrade")
	errTooManyInformational = errors.New("replica sent 8 informational responses without a final one")
)
