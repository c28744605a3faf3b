package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// DialDirect connects to a target and records whether it was reached.
func (pool *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialed, err := pool.direct(ctx, "tcp", address)
	switch {
	case err == nil:
		pool.settings.Tunnels.RecordConnected(address)
	case ctx.Err() == nil:
		pool.settings.Tunnels.RecordFailed(address)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		// The time was too short to tell a target that can't be reached from a slow one.
		pool.settings.Tunnels.RecordDoubt(address)
	}
	return dialed, err
}

// DialForOthers connects to a target for another router, whose requests may be long, and records whether it was reached.
func (pool *Pool) DialForOthers(ctx context.Context, address string) (net.Conn, error) {
	conn, err := pool.DialDirect(ctx, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(syscall.Conn); ok {
		if raw, rawErr := tcp.SyscallConn(); rawErr == nil {
			err = setAckTimeout(raw, silentAckTimeout)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
