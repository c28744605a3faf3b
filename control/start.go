package control

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"celerylanding.example/celerylanding/quorum/wal"
)

const (
	// recoveryRetryInterval is the time between two attempts to read the data folder.
	recoveryRetryInterval = 250 * time.Millisecond
	// recoveryLogInterval is the time between two log lines of failed attempts.
	recoveryLogInterval = 5 * time.Second
	// maxPathErrorTime is how long an error may last that a wrong path causes, but also a mount that is not complete yet.
	maxPathErrorTime = 10 * time.Second
)

// pathErrors are the errors of a wrong path or wrong permissions, which no waiting repairs.
var pathErrors = []error{syscall.ENOTDIR, syscall.EACCES, syscall.EPERM, syscall.EISDIR, syscall.EINVAL, syscall.ENAMETOOLONG, syscall.ELOOP}

// isDiskError reports whether an error is one of the file system, which may end without a restart of this process.
func isDiskError(err error) bool {
	var number syscall.Errno
	return !errorx.IsOfType(err, wal.ErrLocked) && (errorx.IsOfType(err, wal.ErrNotWritten) || errors.As(err, &number))
}

func isPathError(err error) bool {
	return slices.ContainsFunc(pathErrors, func(known error) bool { return errors.Is(err, known) })
}

// recoverWithRetries recovers the state, and waits while the disk does not allow it: a process that ends instead would only be started again.
func (ctl *Control) recoverWithRetries(ctx context.Context, now time.Time) error {
	began, logDue := now, now
	for {
		err := ctl.recover(now)
		if err == nil || !isDiskError(err) || isPathError(err) && now.Sub(began) >= maxPathErrorTime {
			return err
		}
		if !now.Before(logDue) {
			logDue = now.Add(recoveryLogInterval)
			ctl.options.Log.Error().Err(err).Str("folder", ctl.options.DataFolder).Dur("after", now.Sub(began)).
				Msg("data folder can't be used; this node waits for it and serves nothing meanwhile")
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(recoveryRetryInterval):
		}
		now = ctl.options.Clock()
	}
}
