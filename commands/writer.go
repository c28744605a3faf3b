package commands

import (
	"io"

	"github.com/rs/zerolog"
)

// syncWriter makes a writer safe for concurrent use.
func syncWriter(writer io.Writer) io.Writer { return zerolog.SyncWriter(writer) }
