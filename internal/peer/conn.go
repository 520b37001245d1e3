package peer

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	connMark        = 0x00            // first byte of a stream that carries a connection; a message begins with a CBOR map
	maxOpeningBytes = 4 << 10         // of the messages by which a connection is opened and accepted
	copyBufferBytes = 8 << 10         // for each direction of a connection
	maxDeliveryTime = 5 * time.Second // for the other instance to read the last bytes of a connection
)

// ConnHandler opens what a connection from another instance is to be joined with. Its reply goes to the other instance in any case; a
// nil connection refuses.
type ConnHandler func(ctx context.Context, from string, body []byte) (joined net.Conn, reply any)

// opening is the first message on a stream that carries a connection.
type opening struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// acceptance is the response to it.
type acceptance struct {
	Accepted bool            `cbor:"1,keyasint,omitempty"`
	Reply    cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// HandleConn registers the handler for a kind of connection. All handlers are registered before Run.
func (n *Node) HandleConn(kind string, h ConnHandler) {
	if n.connHandlers == nil {
		n.connHandlers = make(map[string]ConnHandler)
	}
	n.connHandlers[kind] = h
}

// OpenConn opens a connection to what a peer's handler joins it with, and decodes the handler's reply into resp. If the peer refuses,
// the kind of the error is Failed; with any other error it is not known whether the handler was called.
func (n *Node) OpenConn(ctx context.Context, addr, kind string, req, resp any) (net.Conn, error) {
	op := "open " + kind
	message, err := encodeOpening(kind, req)
	if err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Err: err}
	}
	key := connKey{addr: addr, carries: true}
	pc, err := n.getConn(ctx, key)
	if err != nil {
		return nil, &Error{Op: op, Kind: NotSent, Err: err}
	}
	stream, err := pc.conn.OpenStreamSync(ctx)
	if err != nil {
		n.discardConn(key, pc)
		n.endCall(pc)
		return nil, &Error{Op: op, Kind: NotSent, Err: err}
	}
	conn := &streamConn{Stream: stream, local: pc.conn.LocalAddr(), remote: pc.conn.RemoteAddr(), onClose: func() { n.endCall(pc) }}
	accepted, err := conn.open(ctx, message, resp)
	if err == nil && accepted {
		return conn, nil
	}
	_ = conn.Close()
	if err != nil {
		return nil, &Error{Op: op, Kind: NoAnswer, Err: err}
	}
	return nil, &Error{Op: op, Kind: Failed, Err: eris.New("refused")}
}

// encodeOpening returns the first bytes of a stream that carries a connection.
func encodeOpening(kind string, req any) ([]byte, error) {
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, err
	}
	message, err := encodeFrame(opening{Kind: kind, Body: body})
	return append([]byte{connMark}, message...), err
}

// encodeFrame returns a message with its length before it.
func encodeFrame(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, err
	}
	if len(data) > maxOpeningBytes {
		return nil, eris.Errorf("message of %d bytes is too long", len(data))
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...), nil
}

// readFrame reads a message with its length before it, and nothing of what follows.
func readFrame(from io.Reader, into any) error {
	var length [2]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxOpeningBytes {
		return eris.Errorf("message of %d bytes is too long", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(from, data); err != nil {
		return err
	}
	return cbor.Unmarshal(data, into)
}

// serveOpening handles a stream that carries a connection, of which the first byte has been read. It returns when the connection has ended.
func (n *Node) serveOpening(ctx context.Context, from string, stream *quic.Stream) {
	conn := &streamConn{Stream: stream}
	defer func() { _ = conn.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeout))
	var request opening
	if err := readFrame(stream, &request); err != nil {
		messageRefusals.Inc()
		slog.Info("opening of a connection refused", "from", from, "error", err.Error())
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	h := n.connHandlers[request.Kind]
	if h == nil {
		slog.Info("connection of an unknown kind refused", "from", from, "kind", request.Kind)
		return
	}
	joined, reply := h(withStream(ctx, stream), from, request.Body)
	if joined != nil {
		defer func() { _ = joined.Close() }()
	}
	if err := conn.accept(joined != nil, reply); err != nil {
		slog.Info("connection not accepted", "from", from, "kind", request.Kind, "error", err.Error())
		return
	}
	if joined == nil {
		_ = stream.Close() // its end comes behind the reply, unlike a reset
		return
	}
	conn.join(joined)
}

// streamConn is a net.Conn over a stream of a connection between instances.
type streamConn struct {
	*quic.Stream
	local, remote net.Addr
	onClose       func() // called once
	closeOnce     sync.Once
	ended         bool // the end of what is sent was sent; only serveOpening sets it
}

// LocalAddr returns the address of the connection between the instances.
func (c *streamConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer.
func (c *streamConn) RemoteAddr() net.Addr { return c.remote }

// Close ends both directions at once; what the peer has not read yet is lost, unless the end of it was sent.
func (c *streamConn) Close() error {
	c.closeOnce.Do(func() {
		c.CancelRead(streamRejected)
		if !c.ended {
			c.CancelWrite(streamRejected)
		}
		if c.onClose != nil {
			c.onClose()
		}
	})
	return nil
}

// open sends the opening message and reads whether the peer accepts.
func (c *streamConn) open(ctx context.Context, message []byte, resp any) (accepted bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := c.Write(message); err != nil {
		return false, err
	}
	var reply acceptance
	if err := readFrame(c, &reply); err != nil {
		return false, err
	}
	if err := cbor.Unmarshal(reply.Reply, resp); err != nil {
		return false, err
	}
	if !stop() {
		return false, context.Cause(ctx)
	}
	return reply.Accepted, nil
}

// accept sends the handler's reply.
func (c *streamConn) accept(accepted bool, reply any) error {
	body, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	message, err := encodeFrame(acceptance{Accepted: accepted, Reply: body})
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, err = c.Write(message)
	_ = c.SetWriteDeadline(time.Time{})
	c.ended = !accepted && err == nil
	return err
}

// join copies bytes both ways until one side ends. The other instance sees an end as the joined connection has it: complete, or
// broken. After a complete one it closes its end when it has read all, for which the joined connection stays open.
func (c *streamConn) join(joined net.Conn) {
	left := context.AfterFunc(c.Context(), func() { _ = joined.Close() }) // also while a write to it hangs
	defer left()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = copyBytes(joined, c)
		_ = joined.Close() // the other instance has closed its end
	}()
	if _, err := copyBytes(c, joined); err != nil {
		c.SetReliableBoundary() // what came before the break is delivered
		return
	}
	left() // the stream's context ends with Close too
	if c.ended = c.Stream.Close() == nil; !c.ended {
		return
	}
	select {
	case <-closed:
	case <-time.After(maxDeliveryTime):
	}
}

// copyBytes is io.Copy with a small buffer; the types hide faster ways that take larger ones.
func copyBytes(to io.Writer, from io.Reader) (int64, error) {
	return io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferBytes))
}
