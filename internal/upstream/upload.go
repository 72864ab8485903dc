package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"pipitmux/internal/message"
	"pipitmux/internal/relay"
)

// stallFor ends a body on which a server gives, or takes, nothing for so long.
const stallFor = 15 * time.Second

// errClient tells that a request's body broke on the client's side.
var errClient = errors.New("the client did not send its req whole")

// upload writes a request to a server.
type upload struct {
	pool *Pool
	c    *conn
	call *message.Call
	at   atomic.Uint32 // Stage: WrittenWhole as soon as the server may have it all

	mu  sync.Mutex
	err error // of the client, or of the server's connection
}

func (u *upload) stage() Stage { return Stage(u.at.Load()) }

// cause returns what broke the writing, or else err, with which the reading ended.
func (u *upload) cause(err error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.err, errClient) {
		return u.err
	}
	return err
}

// headRoom is what most heads fit in.
const headRoom = 512

// head is the request's head, with room behind it.
func (u *upload) head(left time.Duration, room int) *bytes.Buffer {
	out := &bytes.Buffer{}
	out.Grow(headRoom + room)
	u.pool.codec.WriteHead(out, u.call, u.c.place, left)
	return out
}

// plain writes a request that is held whole.
func (u *upload) plain(left time.Duration) *Error {
	out := u.head(left, len(u.call.Body))
	out.Write(u.call.Body)
	u.at.Store(uint32(PartlyWritten))
	n, err := u.c.Write(out.Bytes())
	if n == out.Len() {
		u.at.Store(uint32(FullyWritten))
	}
	if err != nil {
		return &Error{u.stage(), err}
	}
	u.pool.opt.OnRequestWritten()
	return nil
}

// long writes a request as it comes. Its attempt has so long from the last byte on. Where it
// breaks, who reads the answer is woken.
func (u *upload) long(within time.Duration, timer *time.Timer) {
	if err := u.pass(within); err != nil {
		u.mu.Lock()
		u.err = err
		u.mu.Unlock()
		if errors.Is(err, errClient) {
			u.c.SetDeadline(time.Unix(1, 0))
		}
		return // else the server's answer or its close is read
	}
	timer.Reset(within)
	u.pool.opt.OnRequestWritten()
}

func (u *upload) pass(within time.Duration) error {
	u.at.Store(uint32(PartlyWritten))
	written := int64(0)
	chunked := u.call.Length == message.UnknownLength
	var chunk bytes.Buffer
	put := func(b []byte) error {
		if written += int64(len(b)); written == u.call.Length {
			u.at.Store(uint32(FullyWritten)) // with these bytes the server may begin
		}
		u.c.SetWriteDeadline(time.Now().Add(stallFor))
		if !chunked {
			_, err := u.c.Write(b)
			return err
		}
		chunk.Reset()
		fmt.Fprintf(&chunk, "%x\r\n", len(b))
		chunk.Write(b)
		chunk.WriteString("\r\n")
		_, err := u.c.Write(chunk.Bytes())
		return err
	}
	if _, err := u.c.Write(u.head(within, 0).Bytes()); err != nil {
		return err
	}
	if err := put(u.call.Body); err != nil {
		return err
	}
	if !u.call.Rest.Claim() {
		return fmt.Errorf("%w: another attempt has it", errClient)
	}
	toServer, fromClient := relay.Copy(put, u.call.Rest)
	switch {
	case fromClient != nil:
		return fmt.Errorf("%w: %w", errClient, fromClient)
	case toServer != nil:
		return toServer
	case !chunked:
		if written != u.call.Length {
			return fmt.Errorf("%w: %d bytes of %d", errClient, written, u.call.Length)
		}
		return nil
	}
	u.at.Store(uint32(FullyWritten))
	_, err := u.c.Write([]byte("0\r\n\r\n"))
	return err
}
