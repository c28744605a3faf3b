package tunnel

import (
	"fmt"
	"io"
	"net"
	"time"
)

// A connection begins with the protocol's version, the length of the target's address and the address. The answer is one status byte; after
// statusConnected, the bytes of both sides are passed on.
const (
	protocolVersion = 1
	// greetingTimeout bounds the time in which a router must name the target after it has connected.
	greetingTimeout = time.Second
	maxAddress      = 255
)

// status is the answer to the request for a connection.
type status byte

const (
	statusConnected status = iota + 1
	// statusRefused means that the target refuses connections, and statusFailed that it could not be connected to.
	statusRefused
	statusFailed
	// statusCut means that the router reaches no target itself, and statusBusy that it takes on no more.
	statusCut
	statusBusy
	// statusUnknown means that the router does not know the target.
	statusUnknown
)

var outcomes = map[status]string{statusConnected: "connected", statusRefused: "refused", statusFailed: "failed", statusCut: "cut",
	statusBusy: "busy", statusUnknown: "unknown_target"}

// String returns the name of the outcome in metrics and errors.
func (status status) String() string {
	if name, ok := outcomes[status]; ok {
		return name
	}
	return "invalid"
}

func writeGreeting(conn net.Conn, address string) error {
	if len(address) > maxAddress {
		return fmt.Errorf("address %q is too long", address)
	}
	_, err := conn.Write(append([]byte{protocolVersion, byte(len(address))}, address...))
	return err
}

// readGreeting returns the address of the target; it reads no byte beyond it.
func readGreeting(conn net.Conn) (string, error) {
	var head [2]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return "", err
	}
	if head[0] != protocolVersion {
		return "", fmt.Errorf("protocol version %d is not supported", head[0])
	}
	address := make([]byte, head[1])
	_, err := io.ReadFull(conn, address)
	return string(address), err
}

func readStatus(conn net.Conn) (status, error) {
	var answer [1]byte
	_, err := io.ReadFull(conn, answer[:])
	return status(answer[0]), err
}
