package dispatch

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/promptcache"
)

// Requirements describes the targets that a request can run on.
type Requirements struct {
	Service celerylanding.ServiceID
	// Unit is empty for a plain service.
	Unit feed.Unit
	// PromptKey identifies the part of the prompt that other requests share; it may be "".
	PromptKey    string
	PromptTokens int
	// SharedTokens is the number of tokens of that part; zero stands for the whole prompt.
	SharedTokens int
	OutputTokens int
	// Prompt is the beginning of the prompt that other requests may share, or nil.
	Prompt *promptcache.Prompt
	// Slack is the time that is left to begin the answer within the latency objective; zero if the request is late or has none.
	Slack time.Duration
	// MaxEventGap is the longest pause that the stream may have; zero for no bound.
	MaxEventGap time.Duration
	// Chance is a random number in [0, 1) that decides between targets that are about as good; zero stands for the best one.
	Chance float64
	// Excluded lists the targets that have refused or failed the request.
	Excluded []celerylanding.TargetID
	// Software is the version that the target must have, for a stream that has begun; "" for any.
	Software celerylanding.SoftwareVersion
	// AvoidsLimits excludes the targets that announce a limit on requests.
	AvoidsLimits bool
	// WasRejected is set if a brittle target has turned the request away; then it is sent only where room is known.
	WasRejected bool
	// ignoresRooms makes brittle targets candidates that must get no request now.
	ignoresRooms bool
}

// allowsSoftware reports whether the target has the software version that the request needs.
func (needs *Requirements) allowsSoftware(target *feed.Target) bool {
	return needs.Software == "" || needs.Software == target.Software
}

// excludes reports whether the target has refused or failed the request, or has another software version than the request needs.
func (needs *Requirements) excludes(target *feed.Target) bool {
	return !needs.allowsSoftware(target) || slices.Contains(needs.Excluded, target.ID)
}
