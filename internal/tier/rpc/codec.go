package rpc

import (
	"bufio"
	"net"
	netrpc "net/rpc"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 16 << 10

// serverCodec implements netrpc.ServerCodec for a connection. net/rpc reads from
// one goroutine and writes responses one at a time.
type serverCodec struct {
	socket net.Conn
	limits Limits
	bytes  *byteBudget
	slots  chan struct{} // one for each call in progress and one for the next

	reader  *bufio.Reader
	frames  frameReader
	decoder decoder
	flags   byte   // of the frame being read
	body    []byte // of the frame being read
	encoder encoder

	mu         sync.Mutex
	frameBytes int            // reserved for the frame being read
	callBytes  map[uint64]int // reserved for the calls in progress, by sequence
}

var _ netrpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(socket net.Conn, limits Limits, bytes *byteBudget) *serverCodec {
	codec := &serverCodec{
		socket:    socket,
		limits:    limits,
		bytes:     bytes,
		slots:     make(chan struct{}, limits.CallsPerConnection),
		reader:    bufio.NewReaderSize(socket, readBufferBytes),
		encoder:   encoder{limit: limits.MessageBytes},
		callBytes: make(map[uint64]int),
	}
	codec.frames = frameReader{from: codec.reader, limit: limits.MessageBytes, reserve: codec.reserve}
	return codec
}

// ReadRequestHeader waits until another call is allowed and reads its header.
func (c *serverCodec) ReadRequestHeader(request *netrpc.Request) error {
	c.slots <- struct{}{}
	if err := c.awaitFrame(); err != nil {
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
	c.assignBytes(h.sequence)
	request.ServiceMethod, request.Seq = h.text, h.sequence
	return nil
}

// awaitFrame waits for the first byte of a frame. A connection with calls in
// progress may be silent without limit, any other for the idle timeout. The
// frame must then be complete within the idle timeout.
func (c *serverCodec) awaitFrame() error {
	for {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.socket.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
		}
		noCalls := len(c.slots) == 1
		if noCalls || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// ReadRequestBody decodes the arguments of the call whose header was read last.
func (c *serverCodec) ReadRequestBody(into any) error {
	err := c.decoder.decode(c.flags, c.body, into)
	c.body = nil
	c.frames.release()
	if errors.Is(err, ErrMalformed) {
		_ = c.socket.Close()
	}
	return err
}

// WriteResponse answers a call, whose arguments are no longer needed, and
// allows the next one. If it fails, it closes the connection.
func (c *serverCodec) WriteResponse(response *netrpc.Response, body any) error {
	defer func() { <-c.slots }()
	c.releaseCall(response.Seq)
	frame, err := c.encodeResponse(response, body)
	if err != nil {
		return c.fail(err)
	}
	_ = c.socket.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	_, err = c.socket.Write(frame)
	c.encoder.release()
	if err != nil {
		return c.fail(err)
	}
	return nil
}

// encodeResponse returns the frame of a response. If the reply cannot be
// encoded, the response carries the encoding error.
func (c *serverCodec) encodeResponse(response *netrpc.Response, body any) ([]byte, error) {
	if response.Error == "" {
		frame, err := c.encoder.frame(header{sequence: response.Seq}, body)
		if err == nil {
			return frame, nil
		}
		response.Error = err.Error()
	}
	return c.encoder.frame(header{sequence: response.Seq, text: response.Error}, nil)
}

func (c *serverCodec) fail(err error) error {
	_ = c.socket.Close()
	return errors.Wrap(err, "rpc: respond")
}

// Close closes the connection and releases the bytes reserved for its calls.
func (c *serverCodec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, bytes := range c.callBytes {
		c.bytes.release(bytes)
	}
	c.bytes.release(c.frameBytes)
	c.frameBytes = 0
	clear(c.callBytes)
	return c.socket.Close()
}

// reserve reserves bytes for the frame being read.
func (c *serverCodec) reserve(bytes int) error {
	if err := c.bytes.reserve(bytes); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frameBytes += bytes
	return nil
}

// assignBytes assigns the bytes reserved for the frame to its call.
func (c *serverCodec) assignBytes(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callBytes[sequence] += c.frameBytes
	c.frameBytes = 0
}

// releaseCall releases the bytes reserved for a call.
func (c *serverCodec) releaseCall(sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes.release(c.callBytes[sequence])
	delete(c.callBytes, sequence)
}
