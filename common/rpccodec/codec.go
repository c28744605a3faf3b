package rpccodec

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
)

const (
	protocolVersion = 1
	framePrefixSize = 9
	// MaxFrame is the maximum size of one header or body in bytes.
	MaxFrame = 64 << 20
	// MaxElements is the maximum length of an array or map in a frame.
	MaxElements = 1 << 20
)

var (
	// ErrVersion means that the peer uses another protocol version.
	ErrVersion = celerylanding.ErrorNamespace.NewType("rpc_version")
	// ErrFrame means that a frame was truncated, too large or not decodable.
	ErrFrame = celerylanding.ErrorNamespace.NewType("rpc_frame")
)

// Counters count the traffic, in bytes and frames, of all connections that share them.
type Counters struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	FramesIn  atomic.Int64
	FramesOut atomic.Int64
	BadFrames atomic.Int64
}

// header precedes the body of a request or response.
type header struct {
	Method    string        `cbor:"1,keyasint"`
	Seq       uint64        `cbor:"2,keyasint"`
	Error     string        `cbor:"3,keyasint,omitempty"`
	Timestamp hlc.Timestamp `cbor:"4,keyasint"`
}

// frameConn reads and writes frames on one connection.
type frameConn struct {
	conn     io.ReadWriteCloser
	reader   *bufio.Reader
	writer   *bufio.Writer
	clock    *hlc.Clock
	counters *Counters
	decoder  cbor.DecMode
}

func newFrameConn(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) *frameConn {
	// Texts are encoded unchecked; refusing one that is not UTF-8 would fail the whole call, and all that it reports, again and again.
	decoder, err := cbor.DecOptions{MaxArrayElements: MaxElements, MaxMapPairs: MaxElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return &frameConn{
		conn:     conn,
		reader:   bufio.NewReader(conn),
		writer:   bufio.NewWriter(conn),
		clock:    clock,
		counters: counters,
		decoder:  decoder,
	}
}

func (frames *frameConn) write(head header, body any) error {
	head.Timestamp = frames.clock.Now(time.Now())
	if err := frames.writeFrame(head); err != nil {
		return err
	}
	if err := frames.writeFrame(body); err != nil {
		return err
	}
	return frames.writer.Flush()
}

func (frames *frameConn) writeFrame(value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > MaxFrame {
		return ErrFrame.New("frame of %d bytes exceeds %d", len(payload), MaxFrame)
	}
	var prefix [framePrefixSize]byte
	prefix[0] = protocolVersion
	binary.LittleEndian.PutUint64(prefix[1:], uint64(len(payload)))
	if _, err := frames.writer.Write(prefix[:]); err != nil {
		return err
	}
	_, err = frames.writer.Write(payload)
	frames.counters.FramesOut.Add(1)
	frames.counters.BytesOut.Add(int64(len(payload) + framePrefixSize))
	return err
}

func (frames *frameConn) readFrame(value any) error {
	var prefix [framePrefixSize]byte
	if _, err := io.ReadFull(frames.reader, prefix[:]); err != nil {
		return err
	}
	if prefix[0] != protocolVersion {
		return frames.countBadFrame(ErrVersion.New("version %d, want %d", prefix[0], protocolVersion))
	}
	length := binary.LittleEndian.Uint64(prefix[1:])
	if length > MaxFrame {
		return frames.countBadFrame(ErrFrame.New("frame of %d bytes exceeds %d", length, MaxFrame))
	}
	// io.ReadAll grows the buffer with the bytes received, not with the length claimed in the prefix.
	payload, err := io.ReadAll(io.LimitReader(frames.reader, int64(length)))
	if err == nil && uint64(len(payload)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return frames.countBadFrame(ErrFrame.Wrap(err, "truncated frame"))
	}
	frames.counters.FramesIn.Add(1)
	frames.counters.BytesIn.Add(int64(len(payload) + framePrefixSize))
	if value == nil {
		return nil
	}
	if err := frames.decoder.Unmarshal(payload, value); err != nil {
		return frames.countBadFrame(ErrFrame.Wrap(err, "undecodable frame"))
	}
	return nil
}

// countBadFrame counts a malformed frame and returns the error unchanged.
func (frames *frameConn) countBadFrame(err error) error {
	frames.counters.BadFrames.Add(1)
	return err
}

func (frames *frameConn) readHeader() (header, error) {
	var head header
	if err := frames.readFrame(&head); err != nil {
		return header{}, err
	}
	frames.clock.Observe(time.Now(), head.Timestamp)
	return head, nil
}

type serverCodec struct{ *frameConn }

// NewServer returns the server codec for a connection.
func NewServer(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) rpc.ServerCodec {
	return &serverCodec{newFrameConn(conn, clock, counters)}
}

func (codec *serverCodec) ReadRequestHeader(request *rpc.Request) error {
	head, err := codec.readHeader()
	request.ServiceMethod = head.Method
	request.Seq = head.Seq
	return err
}

func (codec *serverCodec) ReadRequestBody(body any) error { return codec.readFrame(body) }

func (codec *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	err := codec.write(header{Method: response.ServiceMethod, Seq: response.Seq, Error: response.Error}, body)
	if err != nil {
		return codec.closeOnError(err)
	}
	return nil
}

func (codec *serverCodec) Close() error { return codec.conn.Close() }

// closeOnError closes the connection after a failed write, since no frame can follow a partially written one.
func (frames *frameConn) closeOnError(err error) error {
	if closeErr := frames.conn.Close(); closeErr != nil {
		return errors.Join(err, closeErr)
	}
	return err
}

type clientCodec struct{ *frameConn }

// NewClient returns the client codec for a connection.
func NewClient(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) rpc.ClientCodec {
	return &clientCodec{newFrameConn(conn, clock, counters)}
}

func (codec *clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return codec.write(header{Method: request.ServiceMethod, Seq: request.Seq}, body)
}

func (codec *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	head, err := codec.readHeader()
	response.ServiceMethod = head.Method
	response.Seq = head.Seq
	response.Error = head.Error
	return err
}

func (codec *clientCodec) ReadResponseBody(body any) error { return codec.readFrame(body) }

func (codec *clientCodec) Close() error { return codec.conn.Close() }
