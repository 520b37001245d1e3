package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/corianderpier/corianderpier/internal/limit"
)

const (
	maxMessageBytes = 16 << 20        // of a request or a response
	maxUnreadBytes  = 32 << 20        // of all messages that are being read
	messageTimeout  = 2 * time.Second // from the first byte of a message to the last one
	streamRejected  = quic.StreamErrorCode(1)
)

var messageRefusals = metrics.NewCounter(`pier_peer_refused_total{reason="message"}`)

// request is what a call sends: the kind of call and its CBOR argument.
type request struct {
	Kind string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
}

// response is the result of a call as CBOR, or the text of the handler's error.
type response struct {
	Body       []byte `cbor:"1,keyasint"`
	Error      string `cbor:"2,keyasint,omitempty"`
	Compressed bool   `cbor:"3,keyasint,omitempty"` // the body is compressed
}

// readMessage waits for a message on a stream and decodes it. If that fails, the peer is told to send no more.
func (n *Node) readMessage(stream *quic.Stream, into any) error {
	first := make([]byte, 1)
	if _, err := io.ReadFull(stream, first); err != nil {
		return err
	}
	return n.readRest(stream, first, into)
}

// readRest is readMessage after the first byte.
func (n *Node) readRest(stream *quic.Stream, first []byte, into any) error {
	if err := stream.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return err
	}
	body := n.unread.Reader(io.MultiReader(bytes.NewReader(first), stream))
	defer body.Release()
	raw, err := limit.ReadAll(body, maxMessageBytes)
	if err == nil {
		err = cbor.Unmarshal(raw, into)
	}
	if err != nil {
		messageRefusals.Inc()
		slog.Info("message of a peer refused", "error", err.Error())
		stream.CancelRead(streamRejected)
	}
	return err
}

// writeMessage sends a message as the last one on a stream.
func writeMessage(stream *quic.Stream, message []byte) error {
	if _, err := stream.Write(message); err != nil {
		return err
	}
	return stream.Close()
}

// exchange sends a message on a new stream and reads the response; the stream is reset when the context ends.
func (n *Node) exchange(ctx context.Context, stream *quic.Stream, message []byte) (response, error) {
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(streamRejected)
		stream.CancelWrite(streamRejected)
	})
	defer stop()
	if err := writeMessage(stream, message); err != nil {
		return response{}, err
	}
	var reply response
	err := n.readMessage(stream, &reply)
	return reply, err
}

// handleStream handles the one call, or the connection, of a stream.
func (n *Node) handleStream(ctx context.Context, from string, stream *quic.Stream) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(stream, first); err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	if first[0] == connMark {
		n.serveOpening(ctx, from, stream)
		return
	}
	var req request
	if err := n.readRest(stream, first, &req); err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	out, err := n.answer(withStream(ctx, stream), from, req)
	if err != nil {
		stream.CancelWrite(streamRejected)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(messageTimeout))
	if err := writeMessage(stream, out); err != nil {
		stream.CancelWrite(streamRejected)
	}
}

// answer calls the handler for a request and returns the encoded response.
func (n *Node) answer(ctx context.Context, from string, req request) ([]byte, error) {
	var reply response
	var err error
	if h := n.handlers[req.Kind]; h == nil {
		reply.Error = "unknown call " + req.Kind
	} else if reply.Body, err = h(ctx, from, req.Body); err != nil {
		reply.Error = err.Error()
	}
	if reply, err = reply.compress(); err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

// withStream returns a context that ends also when the caller resets the stream.
func withStream(ctx context.Context, stream *quic.Stream) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(stream.Context(), cancel)
	return ctx
}
