package upstream

import "errors"

// Progress is how far an attempt came.
type Progress int

const (
	// NotSent means that no replica can have executed the request: there was no connection, or not even the head went
	// out completely.
	NotSent Progress = iota
	// Sent means that the head went out, so the request may have been executed.
	Sent
	// ResponseStarted means that the head of the response has come.
	ResponseStarted
)

// AttemptError is returned for an attempt that ended without a complete response.
type AttemptError struct {
	Progress Progress
	Stage    string
	Err      error
}

// Error names the stage in which the attempt failed.
func (e *AttemptError) Error() string { return e.Stage + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// BodyError is returned where the body of a request could not be read to its end. The cause is the client, so it does
// not count against the replica.
type BodyError struct{ Err error }

// Error names the body as the cause.
func (e *BodyError) Error() string { return "request body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

var (
	// ErrCanceled is returned for a request whose client waits no longer.
	ErrCanceled = errors.New("the request was canceled")
	// ErrBodyStopped is returned by reads of a body that is no longer needed. It is neither the client's fault nor the
	// replica's.
	ErrBodyStopped = errors.New("the body is no longer needed")
	// ErrConnectionLimit is returned where a replica has as many connections as it may, all in use, and none was
	// released in time. A closed pool returns it for any new connection.
	ErrConnectionLimit = errors.New("all connections of the replica are in use")

	errHeadTooLarge         = errors.New("the head is too large")
	errProtocolSwitch       = errors.New("the replica switches protocols unasked")
	errTooManyInformational = errors.New("too many informational responses")
)
