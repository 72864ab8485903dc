package upstream

import (
	"context"
	"io"
	"time"

	"oakseam/internal/message"
)

const (
	// bufferDelay is how long the first bytes of a response of unknown length are buffered, so that
	// a short response that breaks off can still be retried.
	bufferDelay = 50 * time.Millisecond
	// chunkOverheadFactor limits what chunked framing may add to a long body, per byte. A chunk of
	// one byte takes six bytes.
	chunkOverheadFactor = 8
	// readSize is the buffer size for reading a response of unknown length, in bytes.
	readSize = 16 << 10
)

// readReply reads the body of a response. It buffers a body of up to message.MaxBuffered bytes
// completely. For a longer one it returns what has arrived, and the stream that follows.
func (p *Pool) readReply(r response) (*message.Reply, *stream, error) {
	n := r.length
	switch {
	case n > message.MaxBodyBytes:
		return nil, nil, errResponseTooLong
	case n < 0:
		return p.readUnsized(r)
	case n > message.MaxBuffered || !p.opt.Budget.TryAcquire(n):
		r.upload.conn.allowLongBody()
		return p.streamRest(&message.Reply{Length: n}, r)
	}
	reply := &message.Reply{Length: n, Release: func() { p.opt.Budget.Release(n) }, Body: make([]byte, n)}
	if _, err := io.ReadFull(r.body, reply.Body); err != nil {
		reply.Close()
		return nil, nil, err
	}
	return reply, nil, nil
}

// streamRest has the rest of a long response passed on as it arrives, until the deadline of the
// response in place of that of the attempt.
func (p *Pool) streamRest(reply *message.Reply, rest response) (*message.Reply, *stream, error) {
	if !rest.upload.beginPassingOn() {
		reply.Close()
		return nil, nil, context.DeadlineExceeded
	}
	s := p.newStream(rest)
	if rest.upload.responseDeadline.IsZero() {
		s.stallTimeout = stallTimeout // nothing else would end a response that hangs
	}
	reply.Rest = s
	return reply, s, nil
}

// readUnsized reads a response that does not state its length. It starts to stream the response
// when more has arrived than is buffered, or bufferDelay after its first bytes.
func (p *Pool) readUnsized(r response) (*message.Reply, *stream, error) {
	r.upload.conn.allowLongBody()
	held := int64(message.MaxBuffered)
	if !p.opt.Budget.TryAcquire(held) {
		held = 0
	}
	reply := &message.Reply{Length: message.UnknownLength, Release: func() { p.opt.Budget.Release(held) }}
	buffer := make([]byte, readSize)
	next := startRead(r.body, buffer)
	var delayOver <-chan time.Time
	for {
		select {
		case got := <-next:
			reply.Body = append(reply.Body, got.data...)
			if got.err == io.EOF {
				reply.Length = int64(len(reply.Body))
				return reply, nil, nil
			}
			if got.err != nil {
				reply.Close()
				return nil, nil, got.err
			}
			if delayOver == nil {
				timer := time.NewTimer(bufferDelay)
				defer timer.Stop()
				delayOver = timer.C
			}
			if int64(len(reply.Body)) <= held {
				next = startRead(r.body, buffer)
				continue
			}
			next = nil
		case <-delayOver:
		}
		r.body = &continuedBody{next: next, rest: r.body}
		return p.streamRest(reply, r)
	}
}

// chunk is the result of one read.
type chunk struct {
	data []byte
	err  error
}

// startRead reads a body once, in its own goroutine, so that the caller can wait for it with a
// timeout. The goroutine ends with the read, also if nobody receives its result. Closing the
// connection of the body ends the read.
func startRead(body io.Reader, buffer []byte) <-chan chunk {
	result := make(chan chunk, 1)
	go func() {
		n, err := body.Read(buffer)
		result <- chunk{buffer[:n], err}
	}()
	return result
}

// continuedBody is a body whose next read has been started already.
type continuedBody struct {
	next  <-chan chunk // result of that read; nil: received, or none was started
	first chunk        // what Read has not returned yet of that result
	rest  io.Reader    // what follows
}

// Read implements io.Reader.
func (b *continuedBody) Read(p []byte) (int, error) {
	if b.next != nil {
		b.first, b.next = <-b.next, nil
	}
	if len(b.first.data) > 0 {
		n := copy(p, b.first.data)
		b.first.data = b.first.data[n:]
		return n, nil
	}
	if b.first.err != nil {
		return 0, b.first.err
	}
	return b.rest.Read(p)
}
