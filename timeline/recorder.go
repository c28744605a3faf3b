package timeline

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/common/hlc"
)

// Recorder writes events as structured log lines; it is safe for concurrent use.
type Recorder struct {
	log   zerolog.Logger
	clock *hlc.Clock
}

// NewRecorder returns a recorder for one process; writer must be safe for concurrent use.
func NewRecorder(writer io.Writer, node celerylanding.NodeID, clock *hlc.Clock) *Recorder {
	return &Recorder{log: zerolog.New(writer).With().Str("process", string(node)).Logger(), clock: clock}
}

// Record writes one event with the clock's stamp.
func (recorder *Recorder) Record(now time.Time, event celerylanding.Event) {
	stamp := recorder.clock.Now(now)
	line := recorder.log.Log().Int64("wall", stamp.Wall).Uint32("counter", stamp.Counter).Str("event", event.Kind)
	for _, field := range []struct{ name, text string }{
		{"request", event.Request}, {"model", string(event.Model)}, {"target", string(event.Target)}, {"detail", event.Detail},
	} {
		if field.text != "" {
			line = line.Str(field.name, field.text)
		}
	}
	line.Send()
}
