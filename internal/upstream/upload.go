package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"oakseam/internal/message"
	"oakseam/internal/relay"
)

// stallTimeout ends the transfer of a body if the server sends or accepts nothing for this time.
const stallTimeout = 15 * time.Second

// errClientBody is the error of a request body that broke off on the client's side.
var errClientBody = errors.New("the client did not send the complete request body")

// upload writes one request to a server.
type upload struct {
	pool         *Pool
	conn         *conn
	call         *message.Call
	timer        *time.Timer   // ends the attempt at its deadline
	currentStage atomic.Uint32 // a Stage; never lower than what the server may have

	responseDeadline time.Time // of a long response that is passed on as it arrives; zero: none

	written chan struct{} // closed when the goroutine that writes the request has ended; nil: there is none

	mu        sync.Mutex
	err       error // of the client's body or of the server's connection
	passingOn bool  // such a response has begun
}

// stage returns the stage that the attempt has reached.
func (u *upload) stage() Stage { return Stage(u.currentStage.Load()) }

// cause returns the error of the client's body if that broke off, and otherwise err, with which
// the reading ended.
func (u *upload) cause(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, errClientBody) {
		return u.err
	}
	return err
}

// begin records that a part of the request may be written from now on. Where another goroutine
// writes the request it must be called before that goroutine starts: a response that fails must
// not find the request unsent which is written a moment later.
func (u *upload) begin() { u.currentStage.Store(uint32(PartlyWritten)) }

// writeFirst writes the first bytes of the request. If the connection accepts none of them the
// request was not sent.
func (u *upload) writeFirst(b []byte) (n int, err error) {
	if n, err = u.conn.Write(b); n == 0 && err != nil {
		u.currentStage.Store(uint32(NotConnected))
	}
	return n, err
}

// headBufferBytes is a size that most request heads fit in.
const headBufferBytes = 512

// head returns a buffer with the request's head and space for bodyBytes more bytes.
func (u *upload) head(left time.Duration, bodyBytes int) *bytes.Buffer {
	out := &bytes.Buffer{}
	out.Grow(headBufferBytes + bodyBytes)
	u.pool.codec.WriteHead(out, u.call, u.conn.instance, left)
	return out
}

// writeBuffered writes a request whose body is buffered completely.
func (u *upload) writeBuffered(left time.Duration) error {
	out := u.head(left, len(u.call.Body))
	out.Write(u.call.Body)
	u.begin()
	n, err := u.writeFirst(out.Bytes())
	if n == out.Len() {
		u.currentStage.Store(uint32(FullyWritten))
	}
	if err != nil {
		u.fail(err)
		return err
	}
	u.pool.opt.OnRequestWritten()
	return nil
}

// fail records why the request could not be written whole.
func (u *upload) fail(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = err
}

// sentWhole reports whether the whole request was written without an error.
func (u *upload) sentWhole() bool {
	if u.stage() < FullyWritten {
		return false
	}
	if u.written != nil {
		<-u.written // the last write is in progress, and bounded by its deadline
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err == nil
}

// startStreaming writes a request whose body is still arriving, in a goroutine of its own.
func (u *upload) startStreaming(timeout time.Duration) {
	u.begin()
	u.written = make(chan struct{})
	go u.writeStreaming(timeout)
}

// startTimeout starts the timeout of the attempt, after the last byte of the request.
func (u *upload) startTimeout(timeout time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.passingOn {
		u.timer.Reset(timeout)
	}
}

// beginPassingOn replaces the deadline of the attempt by that of its long response. It returns false
// if the former was over.
func (u *upload) beginPassingOn() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.passingOn = true
	if !u.timer.Stop() {
		return false
	}
	if !u.responseDeadline.IsZero() {
		u.timer.Reset(time.Until(u.responseDeadline))
	}
	return true
}

// writeStreaming writes a request whose body is still arriving. After the last byte the attempt
// has the given timeout. If the client's body breaks off, it wakes the reader of the response.
func (u *upload) writeStreaming(timeout time.Duration) {
	defer close(u.written)
	if err := u.writeBodyParts(timeout); err != nil {
		u.fail(err)
		if errors.Is(err, errClientBody) {
			u.conn.SetDeadline(time.Unix(1, 0))
		}
		return // otherwise the reader gets the server's response or its close
	}
	u.startTimeout(timeout)
	u.pool.opt.OnRequestWritten()
}

// writeBodyParts writes the head, the buffered part of the body and then the rest as it arrives.
func (u *upload) writeBodyParts(timeout time.Duration) error {
	written := int64(0)
	chunked := u.call.Length == message.UnknownLength
	var chunk bytes.Buffer
	write := func(b []byte) error {
		if written += int64(len(b)); written == u.call.Length {
			u.currentStage.Store(uint32(FullyWritten)) // with these bytes the server has the whole request
		}
		u.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if !chunked {
			_, err := u.conn.Write(b)
			return err
		}
		chunk.Reset()
		fmt.Fprintf(&chunk, "%x\r\n", len(b))
		chunk.Write(b)
		chunk.WriteString("\r\n")
		_, err := u.conn.Write(chunk.Bytes())
		return err
	}
	if _, err := u.writeFirst(u.head(timeout, 0).Bytes()); err != nil {
		return err
	}
	if err := write(u.call.Body); err != nil {
		return err
	}
	if !u.call.Rest.Claim() {
		return fmt.Errorf("%w: another attempt has claimed it", errClientBody)
	}
	toServer, fromClient := relay.Copy(write, u.call.Rest)
	switch {
	case fromClient != nil:
		return fmt.Errorf("%w: %w", errClientBody, fromClient)
	case toServer != nil:
		return toServer
	case !chunked:
		if written != u.call.Length {
			return fmt.Errorf("%w: got %d of %d bytes", errClientBody, written, u.call.Length)
		}
		return nil
	}
	u.currentStage.Store(uint32(FullyWritten))
	_, err := u.conn.Write([]byte("0\r\n\r\n"))
	return err
}
