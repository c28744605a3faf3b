package commands

import (
	"io"

	"github.com/rs/zerolog"
)

// syncWriter returns a writer that is safe for concurrent use.
func syncWriter(writer io.Writer) io.Writer { return zerolog.SyncWriter(writer) }
