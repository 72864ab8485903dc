package link

import (
	"bufio"
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// connection is a Pool's side of one connection: callers add frames to a queue,
// and one goroutine writes it and one reads the answers.
type connection struct {
	address string
	socket  net.Conn
	options *Options
	slots   chan struct{} // one for each call that isn't answered yet
	wake    chan struct{} // the queue isn't empty
	ended   chan struct{} // closed as the connection ends
	decoder decoder       // the reader's

	sending sync.Mutex // makes frames come in the order of their encoding
	encoder encoder    // under sending
	last    uint64     // sequence of the last call, under sending

	mu      sync.Mutex // never held while encoding, reading or writing
	cause   error      // why the connection ended
	retired bool       // it ends once no caller waits
	queue   []byte     // frames that the writer hasn't taken
	queued  uint64     // bytes ever put in the queue
	written uint64     // bytes ever written
	calls   map[uint64]*call
	waiting int       // calls whose callers haven't left
	heardAt time.Time // of the last read, or of the first call after none
	usedAt  time.Time // of the last call or answer
}

// call is a call that isn't answered yet.
type call struct {
	method string
	reply  reflect.Value // a pointer of the call's own; zero to read over it
	end    uint64        // written bytes at which the call has gone out whole
	left   bool          // its caller has left
	done   chan error    // with room for the outcome
}

// newConnection takes over a socket that was greeted.
func newConnection(address string, socket net.Conn, options *Options) *connection {
	now := options.Now()
	c := &connection{
		address: address,
		socket:  socket,
		options: options,
		slots:   make(chan struct{}, options.CallsPerConnection),
		wake:    make(chan struct{}, 1),
		ended:   make(chan struct{}),
		encoder: encoder{limit: options.MessageBytes},
		calls:   make(map[uint64]*call),
		heardAt: now,
		usedAt:  now,
	}
	go c.run()
	return c
}

// run writes and reads until the connection ends, then settles what is left:
// only then is it known what was written.
func (c *connection) run() {
	var loops sync.WaitGroup
	loops.Go(func() { c.end(c.write()) })
	loops.Go(func() { c.end(c.read()) })
	loops.Wait()
	c.settle()
}

// call makes a call and waits for its outcome or for ctx.
func (c *connection) call(ctx context.Context, method string, args, reply any) error {
	if err := c.acquire(ctx); err != nil {
		return err
	}
	one := &call{method: method, done: make(chan error, 1)}
	if reply != nil {
		one.reply = reflect.New(reflect.TypeOf(reply).Elem())
	}
	sequence, err := c.send(one, args)
	if err != nil {
		<-c.slots
		return err
	}
	select {
	case err = <-one.done:
	case <-ctx.Done():
		err = c.leave(ctx, sequence, one)
	}
	if err == nil && reply != nil {
		reflect.ValueOf(reply).Elem().Set(one.reply.Elem())
	}
	return err
}

// acquire waits for room for a call.
func (c *connection) acquire(ctx context.Context) error {
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-c.ended:
		return c.unsent()
	case <-ctx.Done():
		return &UnreachableError{Address: c.address, Cause: ctx.Err()}
	}
}

// unsent is the error of a call that the connection ended before.
func (c *connection) unsent() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &UnreachableError{Address: c.address, Cause: c.cause, broke: true}
}

// send puts a call in the queue.
func (c *connection) send(one *call, args any) (sequence uint64, err error) {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.last++
	frame, err := c.encoder.frame(header{sequence: c.last, text: one.method}, args)
	if err != nil {
		return 0, err
	}
	defer c.encoder.release()
	if err := c.enqueue(c.last, one, frame); err != nil {
		c.encoder.restart()
		return 0, err
	}
	return c.last, nil
}

// enqueue puts a call's frame in the queue, and notes the call.
func (c *connection) enqueue(sequence uint64, one *call, frame []byte) error {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil {
		return &UnreachableError{Address: c.address, Cause: c.cause, broke: true}
	}
	if len(c.queue) > 0 && len(c.queue)+len(frame) > c.options.MessageBytes {
		return &UnreachableError{Address: c.address, Cause: ErrOverloaded}
	}
	c.queue = append(c.queue, frame...)
	c.queued += uint64(len(frame))
	one.end = c.queued
	if len(c.calls) == 0 {
		c.heardAt = now
	}
	c.usedAt = now
	c.calls[sequence] = one
	c.waiting++
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// leave makes a call's caller leave, as its context ended. The answer is read
// over when it comes, and until then the call counts as under way.
func (c *connection) leave(ctx context.Context, sequence uint64, one *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case err := <-one.done:
		return err
	default:
	}
	if c.calls[sequence] == one {
		one.left = true
		c.countOut()
	}
	return &UncertainError{Address: c.address, Method: one.method, Cause: ctx.Err()}
}

// countOut counts a caller out. The lock is held.
func (c *connection) countOut() {
	c.waiting--
	if c.retired && c.waiting == 0 {
		c.endLocked(errRetired)
	}
}

// write writes the queue until the connection ends.
func (c *connection) write() error {
	var batch []byte
	for {
		select {
		case <-c.wake:
		case <-c.ended:
			return nil
		}
		batch = c.swap(batch)
		if len(batch) == 0 {
			continue
		}
		n, err := c.socket.Write(batch)
		c.mu.Lock()
		c.written += uint64(n)
		c.mu.Unlock()
		if err != nil {
			return errors.Wrap(err, "write")
		}
	}
}

// swap takes the queue, and leaves an empty one in the room of an old one.
func (c *connection) swap(old []byte) []byte {
	if cap(old) > keepBytes {
		old = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	c.queue = old[:0]
	return batch
}

// read reads answers until the connection ends.
func (c *connection) read() error {
	frames := frameReader{from: bufio.NewReaderSize(hearing{c}, readBytes), limit: c.options.MessageBytes}
	for {
		frame, err := frames.next()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		if err := c.answer(frame); err != nil {
			return err
		}
		frames.release()
	}
}

// hearing reads from a connection's socket, and notes when bytes came.
type hearing struct{ connection *connection }

// Read implements io.Reader.
func (h hearing) Read(to []byte) (int, error) {
	n, err := h.connection.socket.Read(to)
	if n > 0 {
		h.connection.heard()
	}
	return n, err
}

func (c *connection) heard() {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heardAt, c.usedAt = now, now
}

// answer gives an answer to the call that it is to. An error ends the
// connection.
func (c *connection) answer(frame []byte) error {
	h, body, err := parseHeader(frame)
	if err != nil {
		return err
	}
	one, left := c.find(h.sequence)
	if one == nil {
		return errors.Wrap(ErrMalformed, "answer to no call")
	}
	<-c.slots
	outcome := c.outcome(one, left, h, body)
	one.done <- outcome
	c.answered(left)
	if errors.Is(outcome, ErrMalformed) {
		return outcome
	}
	return nil
}

// find takes a call out, and tells whether its caller has left.
func (c *connection) find(sequence uint64) (one *call, left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one = c.calls[sequence]
	delete(c.calls, sequence)
	return one, one != nil && one.left
}

// answered counts out a caller that waited until its answer.
func (c *connection) answered(left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !left {
		c.countOut()
	}
}

// outcome reads an answer's body into the call's own reply.
func (c *connection) outcome(one *call, left bool, h header, body []byte) error {
	var into any
	if !left && h.text == "" && one.reply.IsValid() {
		into = one.reply.Interface()
	}
	if err := c.decoder.decode(h.flags, body, into); err != nil {
		return &UncertainError{Address: c.address, Method: one.method, Cause: err}
	}
	if h.text != "" {
		return &RemoteError{Address: c.address, Method: one.method, Text: h.text}
	}
	return nil
}

// usable tells whether further calls may go over the connection: it hasn't
// ended, isn't silent with calls under way, and wasn't long unused.
func (c *connection) usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != nil || c.retired {
		return false
	}
	if len(c.calls) > 0 {
		return now.Sub(c.heardAt) <= c.options.StaleAfter
	}
	return now.Sub(c.usedAt) <= c.options.MaxUnused
}

// retire ends the connection once no caller waits on it.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if c.waiting == 0 {
		c.endLocked(errRetired)
	}
}

// end ends the connection. The first cause stands.
func (c *connection) end(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(cause)
}

func (c *connection) endLocked(cause error) {
	if c.cause != nil {
		return
	}
	c.cause = cause
	close(c.ended)
	_ = c.socket.Close()
}

// settle fails the calls that are left: a call that wasn't written whole can't
// be carried out.
func (c *connection) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.calls {
		if one.end > c.written {
			one.done <- &UnreachableError{Address: c.address, Cause: c.cause, broke: true}
			continue
		}
		one.done <- &UncertainError{Address: c.address, Method: one.method, Cause: c.cause}
	}
	clear(c.calls)
}
