package link

import (
	"bufio"
	"net"
	"net/rpc"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// readBytes is the size of a connection's read buffer.
const readBytes = 16 << 10

// serverCodec is net/rpc's view of a connection. net/rpc reads from one
// goroutine, and writes responses one at a time.
type serverCodec struct {
	socket net.Conn
	limits Limits
	bytes  *budget
	slots  chan struct{} // one for each call under way, and one for the next

	reader  *bufio.Reader
	frames  frameReader
	decoder decoder
	flags   byte   // of the frame being read
	body    []byte // of the frame being read
	encoder encoder

	mu    sync.Mutex
	taken int            // bytes of the frame being read
	held  map[uint64]int // bytes of the calls under way, by sequence
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(socket net.Conn, limits Limits, bytes *budget) *serverCodec {
	codec := &serverCodec{
		socket:  socket,
		limits:  limits,
		bytes:   bytes,
		slots:   make(chan struct{}, limits.CallsPerConnection),
		reader:  bufio.NewReaderSize(socket, readBytes),
		encoder: encoder{limit: limits.MessageBytes},
		held:    make(map[uint64]int),
	}
	codec.frames = frameReader{from: codec.reader, limit: limits.MessageBytes, take: codec.take}
	return codec
}

// ReadRequestHeader waits for a call's turn and reads its header.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.await(); err != nil {
		return err
	}
	frame, err := c.frames.next()
	if err != nil {
		return err
	}
	h, body, err := parseHeader(frame)
	if err != nil {
		return err
	}
	c.flags, c.body = h.flags, body
	c.hold(h.sequence)
	request.ServiceMethod, request.Seq = h.text, h.sequence
	return nil
}

// await waits for the first byte of a frame. A connection may be silent for as
// long as it has calls under way, and else for the idle time. The frame must
// then come within as long.
func (c *serverCodec) await() error {
	for {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.socket.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
		}
		onlyThis := len(c.slots) == 1
		if onlyThis || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// ReadRequestBody reads the arguments of the call whose header was read last.
func (c *serverCodec) ReadRequestBody(into any) error {
	err := c.decoder.decode(c.flags, c.body, into)
	c.body = nil
	c.frames.release()
	if errors.Is(err, ErrMalformed) {
		_ = c.socket.Close()
	}
	return err
}

// WriteResponse answers a call, whose arguments are done with by now, and makes
// way for the next. Where it fails the connection is of no use.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	c.give(response.Seq)
	frame, err := c.response(response, body)
	if err != nil {
		return c.end(err)
	}
	_ = c.socket.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	_, err = c.socket.Write(frame)
	c.encoder.release()
	if err != nil {
		return c.end(err)
	}
	return nil
}

// response makes a response's frame. A reply that can't be sent is answered
// with why.
func (c *serverCodec) response(response *rpc.Response, body any) ([]byte, error) {
	if response.Error == "" {
		frame, err := c.encoder.frame(header{sequence: response.Seq}, body)
		if err == nil {
			return frame, nil
		}
		response.Error = err.Error()
	}
	return c.encoder.frame(header{sequence: response.Seq, text: response.Error}, nil)
}

func (c *serverCodec) end(err error) error {
	_ = c.socket.Close()
	return errors.Wrap(err, "link: respond")
}

// Close closes the connection and gives back what its calls held.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, bytes := range c.held {
		c.bytes.give(bytes)
	}
	c.bytes.give(c.taken)
	c.taken = 0
	clear(c.held)
	return c.socket.Close()
}

// take takes bytes for the frame being read.
func (c *serverCodec) take(bytes int) error {
	if err := c.bytes.take(bytes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken += bytes
	return nil
}

// hold makes the bytes of the frame that was read those of a call.
func (c *serverCodec) hold(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[sequence] += c.taken
	c.taken = 0
}

// give gives back what a call held.
func (c *serverCodec) give(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes.give(c.held[sequence])
	delete(c.held, sequence)
}
