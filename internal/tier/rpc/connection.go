package rpc

import (
	"bufio"
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// connection is the client side of one connection. Callers append frames to a
// queue; one goroutine writes the queue and another one reads the replies.
type connection struct {
	address string
	socket  net.Conn
	options *Options
	slots   chan struct{} // one for each unanswered call
	wake    chan struct{} // signals that the queue is not empty
	closed  chan struct{} // closed when the connection closes
	decoder decoder       // used by the reading goroutine

	sendMu       sync.Mutex // frames are queued in the order of their encoding
	encoder      encoder    // guarded by sendMu
	lastSequence uint64     // sequence of the last call; guarded by sendMu

	mu           sync.Mutex // never held while encoding, reading or writing
	cause        error      // why the connection closed
	retired      bool       // it closes once no caller waits
	queue        []byte     // frames not yet taken by the writing goroutine
	queuedBytes  uint64     // total bytes queued so far
	writtenBytes uint64     // total bytes written so far
	calls        map[uint64]*call
	waiters      int       // calls whose callers still wait
	lastRead     time.Time // time of the last read, or of the first call after an idle time
	lastUsed     time.Time // time of the last call or reply
}

// call is an unanswered call.
type call struct {
	method    string
	reply     reflect.Value // pointer owned by the call; zero if the reply is discarded
	endOffset uint64        // the call is completely written at this count of written bytes
	abandoned bool          // its caller no longer waits
	done      chan error    // buffered, receives the result
}

// newConnection returns a connection over a socket whose greeting was read.
func newConnection(address string, socket net.Conn, options *Options) *connection {
	now := options.Now()
	c := &connection{
		address:  address,
		socket:   socket,
		options:  options,
		slots:    make(chan struct{}, options.CallsPerConnection),
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		encoder:  encoder{limit: options.MessageBytes},
		calls:    make(map[uint64]*call),
		lastRead: now,
		lastUsed: now,
	}
	go c.run()
	return c
}

// run writes and reads until the connection closes, then fails the open calls.
// Only then is it known how much was written.
func (c *connection) run() {
	var loops sync.WaitGroup
	loops.Go(func() { c.close(c.write()) })
	loops.Go(func() { c.close(c.read()) })
	loops.Wait()
	c.failOpenCalls()
}

// call sends a call and waits for its result or for ctx.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	if err := c.acquire(ctx); err != nil {
		return err
	}
	pending := &call{method: method, done: make(chan error, 1)}
	if reply != nil {
		pending.reply = reflect.New(reflect.TypeOf(reply).Elem())
	}
	sequence, err := c.send(pending, args)
	if err != nil {
		<-c.slots
		return err
	}
	select {
	case err = <-pending.done:
	case <-ctx.Done():
		err = c.abandon(ctx, sequence, pending)
	}
	if err == nil && reply != nil {
		reflect.ValueOf(reply).Elem().Set(pending.reply.Elem())
	}
	return err
}

// acquire waits until another call is allowed.
func (c *connection) acquire(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-c.closed:
		return c.unsentError()
	case <-ctx.Done():
		return &UnreachableError{Address: c.address, Cause: ctx.Err()}
	}
}

// unsentError is the error of a call that was not sent because the connection
// closed.
func (c *connection) unsentError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &UnreachableError{Address: c.address, Cause: c.cause, connectionLost: true}
}

// send encodes a call and queues it.
func (c *connection) send(pending *call, args any) (sequence uint64, err error) {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	c.lastSequence++
	frame, err := c.encoder.frame(header{sequence: c.lastSequence, text: pending.method}, args)
	if err != nil {
		return 0, err
	}
	defer c.encoder.release()
	if err := c.enqueue(c.lastSequence, pending, frame); err != nil {
		c.encoder.restart()
		return 0, err
	}
	return c.lastSequence, nil
}

// enqueue queues a call's frame and registers the call.
func (c *connection) enqueue(sequence uint64, pending *call, frame []byte) error {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return &UnreachableError{Address: c.address, Cause: c.cause, connectionLost: true}
	}
	if len(c.queue) > 0 && len(c.queue)+len(frame) > c.options.MessageBytes {
		return &UnreachableError{Address: c.address, Cause: ErrOverloaded}
	}
	c.queue = append(c.queue, frame...)
	c.queuedBytes += uint64(len(frame))
	pending.endOffset = c.queuedBytes
	if len(c.calls) == 0 {
		c.lastRead = now
	}
	c.lastUsed = now
	c.calls[sequence] = pending
	c.waiters++
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon gives up a call whose context ended. Its reply is discarded when it
// arrives; until then the call counts as in progress.
func (c *connection) abandon(ctx context.Context, sequence uint64, pending *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-pending.done:
		return err
	default:
	}
	if c.calls[sequence] == pending {
		pending.abandoned = true
		c.removeWaiter()
	}
	return &UncertainError{Address: c.address, Method: pending.method, Cause: ctx.Err()}
}

// removeWaiter decrements the number of waiting callers. c.mu must be held.
func (c *connection) removeWaiter() {
	c.waiters--
	if c.retired && c.waiters == 0 {
		c.closeLocked(errRetired)
	}
}

// write writes the queue until the connection closes.
func (c *connection) write() error {
	var batch []byte
	for {
		select {
		case <-c.wake:
		case <-c.closed:
			return nil
		}
		batch = c.takeQueue(batch)
		if len(batch) == 0 {
			continue
		}
		n, err := c.socket.Write(batch)
		c.mu.Lock()
		c.writtenBytes += uint64(n)
		c.mu.Unlock()
		if err != nil {
			return errors.Wrap(err, "write")
		}
	}
}

// takeQueue returns the queue and replaces it by an empty one that reuses the
// memory of old.
func (c *connection) takeQueue(old []byte) []byte {
	if cap(old) > maxRetainedBufferBytes {
		old = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	c.queue = old[:0]
	return batch
}

// read reads replies until the connection closes.
func (c *connection) read() error {
	frames := frameReader{from: bufio.NewReaderSize(activityReader{c}, readBufferBytes), limit: c.options.MessageBytes}
	for {
		frame, err := frames.next()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if err := c.handleReply(frame); err != nil {
			return err
		}
		frames.release()
	}
}

// activityReader reads from a connection's socket and records when bytes
// arrived.
type activityReader struct{ connection *connection }

// Read implements io.Reader.
func (r activityReader) Read(buffer []byte) (int, error) {
	n, err := r.connection.socket.Read(buffer)
	if n > 0 {
		r.connection.recordRead()
	}
	return n, err
}

func (c *connection) recordRead() {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead, c.lastUsed = now, now
}

// handleReply delivers a reply to its call. The connection closes if it returns
// an error.
func (c *connection) handleReply(frame []byte) error {
	head, body, err := parseHeader(frame)
	if err != nil {
		return err
	}
	pending, abandoned := c.takeCall(head.sequence)
	if pending == nil {
		return errors.Wrap(ErrMalformed, "reply to an unknown call")
	}
	<-c.slots
	result := c.decodeReply(pending, abandoned, head, body)
	pending.done <- result
	c.finishCall(abandoned)
	if errors.Is(result, ErrMalformed) {
		return result
	}
	return nil
}

// takeCall removes and returns an open call, and reports whether its caller has
// abandoned it.
func (c *connection) takeCall(sequence uint64) (pending *call, abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending = c.calls[sequence]
	delete(c.calls, sequence)
	return pending, pending != nil && pending.abandoned
}

// finishCall removes the waiter of a call that was not abandoned.
func (c *connection) finishCall(abandoned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !abandoned {
		c.removeWaiter()
	}
}

// decodeReply decodes the body of a reply into the call's own reply value.
func (c *connection) decodeReply(pending *call, abandoned bool, head header, body []byte) error {
	var reply any
	if !abandoned && head.text == "" && pending.reply.IsValid() {
		reply = pending.reply.Interface()
	}
	if err := c.decoder.decode(head.flags, body, reply); err != nil {
		return &UncertainError{Address: c.address, Method: pending.method, Cause: err}
	}
	if head.text != "" {
		return &RemoteError{Address: c.address, Method: pending.method, Text: head.text}
	}
	return nil
}

// usable reports whether the connection may carry further calls. It must not be
// closed or retired, silent for too long with calls in progress, or unused for
// too long.
func (c *connection) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil || c.retired {
		return false
	}
	if len(c.calls) > 0 {
		return now.Sub(c.lastRead) <= c.options.StaleAfter
	}
	return now.Sub(c.lastUsed) <= c.options.MaxUnused
}

// retire closes the connection once no caller waits for a reply.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.waiters == 0 {
		c.closeLocked(errRetired)
	}
}

// close closes the connection. The first cause is kept.
func (c *connection) close(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(cause)
}

func (c *connection) closeLocked(cause error) {
	if c.cause != nil {
		return
	}
	c.cause = cause
	close(c.closed)
	_ = c.socket.Close()
}

// failOpenCalls fails the calls without a reply. A call that was not completely
// written cannot have been executed.
func (c *connection) failOpenCalls() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pending := range c.calls {
		if pending.endOffset > c.writtenBytes {
			pending.done <- &UnreachableError{Address: c.address, Cause: c.cause, connectionLost: true}
			continue
		}
		pending.done <- &UncertainError{Address: c.address, Method: pending.method, Cause: c.cause}
	}
	clear(c.calls)
}
