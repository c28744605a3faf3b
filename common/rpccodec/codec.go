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
	version    = 1
	headerSize = 9
	// MaxFrame bounds one header or body in bytes.
	MaxFrame = 64 << 20
)

var (
	// ErrVersion means that the other end speaks another version of the protocol.
	ErrVersion = celerylanding.Namespace.NewType("rpc_version")
	// ErrFrame means that a frame was truncated, too large or not decodable.
	ErrFrame = celerylanding.Namespace.NewType("rpc_frame")
)

// Counters count the traffic of all connections that share them, in bytes and frames.
type Counters struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	FramesIn  atomic.Int64
	FramesOut atomic.Int64
	BadFrames atomic.Int64
}

// header precedes the body of a call or an answer.
type header struct {
	Method string        `cbor:"1,keyasint"`
	Seq    uint64        `cbor:"2,keyasint"`
	Error  string        `cbor:"3,keyasint,omitempty"`
	Stamp  hlc.Timestamp `cbor:"4,keyasint"`
}

// wire reads and writes frames on one connection.
type wire struct {
	conn     io.ReadWriteCloser
	reader   *bufio.Reader
	writer   *bufio.Writer
	clock    *hlc.Clock
	counters *Counters
	decoder  cbor.DecMode
}

func newWire(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) *wire {
	decoder, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return &wire{
		conn:     conn,
		reader:   bufio.NewReader(conn),
		writer:   bufio.NewWriter(conn),
		clock:    clock,
		counters: counters,
		decoder:  decoder,
	}
}

func (wire *wire) write(head header, body any) error {
	head.Stamp = wire.clock.Now(time.Now())
	if err := wire.writeFrame(head); err != nil {
		return err
	}
	if err := wire.writeFrame(body); err != nil {
		return err
	}
	return wire.writer.Flush()
}

func (wire *wire) writeFrame(value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	if len(payload) > MaxFrame {
		return ErrFrame.New("frame of %d bytes exceeds %d", len(payload), MaxFrame)
	}
	var prefix [headerSize]byte
	prefix[0] = version
	binary.LittleEndian.PutUint64(prefix[1:], uint64(len(payload)))
	if _, err := wire.writer.Write(prefix[:]); err != nil {
		return err
	}
	_, err = wire.writer.Write(payload)
	wire.counters.FramesOut.Add(1)
	wire.counters.BytesOut.Add(int64(len(payload) + headerSize))
	return err
}

func (wire *wire) readFrame(value any) error {
	var prefix [headerSize]byte
	if _, err := io.ReadFull(wire.reader, prefix[:]); err != nil {
		return err
	}
	if prefix[0] != version {
		return wire.bad(ErrVersion.New("version %d, want %d", prefix[0], version))
	}
	length := binary.LittleEndian.Uint64(prefix[1:])
	if length > MaxFrame {
		return wire.bad(ErrFrame.New("frame of %d bytes exceeds %d", length, MaxFrame))
	}
	// Reading through a limit grows the buffer with what arrives, not with what the prefix claims.
	payload, err := io.ReadAll(io.LimitReader(wire.reader, int64(length)))
	if err == nil && uint64(len(payload)) < length {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return wire.bad(ErrFrame.Wrap(err, "truncated frame"))
	}
	wire.counters.FramesIn.Add(1)
	wire.counters.BytesIn.Add(int64(len(payload) + headerSize))
	if value == nil {
		return nil
	}
	if err := wire.decoder.Unmarshal(payload, value); err != nil {
		return wire.bad(ErrFrame.Wrap(err, "undecodable frame"))
	}
	return nil
}

func (wire *wire) bad(err error) error {
	wire.counters.BadFrames.Add(1)
	return err
}

func (wire *wire) readHeader() (header, error) {
	var head header
	if err := wire.readFrame(&head); err != nil {
		return header{}, err
	}
	wire.clock.Observe(time.Now(), head.Stamp)
	return head, nil
}

type serverCodec struct{ *wire }

// NewServer returns the server's end of a connection.
func NewServer(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) rpc.ServerCodec {
	return &serverCodec{newWire(conn, clock, counters)}
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
		return codec.closeAfter(err)
	}
	return nil
}

func (codec *serverCodec) Close() error { return codec.conn.Close() }

// closeAfter ends the connection, since a half-written frame can't be followed by another one.
func (wire *wire) closeAfter(err error) error {
	if closeErr := wire.conn.Close(); closeErr != nil {
		return errors.Join(err, closeErr)
	}
	return err
}

type clientCodec struct{ *wire }

// NewClient returns the client's end of a connection.
func NewClient(conn io.ReadWriteCloser, clock *hlc.Clock, counters *Counters) rpc.ClientCodec {
	return &clientCodec{newWire(conn, clock, counters)}
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
