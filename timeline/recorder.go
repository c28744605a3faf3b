package timeline

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
)

// Recorder writes the events of one process as JSON lines. It is safe for concurrent use.
type Recorder struct {
	log   zerolog.Logger
	clock *hlc.Clock
}

// NewRecorder returns a recorder for the process of a node. The writer must be safe for concurrent use.
func NewRecorder(writer io.Writer, node celerylanding.NodeID, clock *hlc.Clock) *Recorder {
	return &Recorder{log: zerolog.New(writer).With().Str("process", string(node)).Logger(), clock: clock}
}

// Record writes one event with a timestamp of the recorder's clock.
func (recorder *Recorder) Record(now time.Time, event celerylanding.Event) {
	timestamp := recorder.clock.Now(now)
	line := recorder.log.Log().Int64("wall", timestamp.Wall).Uint32("counter", timestamp.Counter).Str("event", event.Kind)
	for _, field := range []struct{ name, text string }{
		{"request", event.Request}, {"model", string(event.Model)}, {"target", string(event.Target)}, {"detail", event.Detail},
	} {
		if field.text != "" {
			line = line.Str(field.name, field.text)
		}
	}
	line.Send()
}
