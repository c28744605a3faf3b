package promptcache

import (
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// minTokens is the length of a prompt's beginning from which the picture holds it. Reading fewer tokens takes a target about as long as a few
	// steps of its batch, which no choice of a target is worth.
	minTokens = 512
	// maxLinks is the number of parts of a prompt that the picture looks at.
	maxLinks = 6
)

// link is one part of a prompt together with all parts before it.
type link struct {
	// chain identifies the model, the adapter, the wall and the parts up to this one.
	chain uint64
	// tokens is the length of this part and of those before it that are too short to be held alone, and total that of all parts up to this one.
	tokens, total int
}

// Prompt is the beginning of a request's prompt that other requests may share: all parts but the last one, which belongs to the request.
type Prompt struct {
	model  celerylanding.ModelID
	links  [maxLinks]link
	length int
	// tokens is the length of the whole prompt.
	tokens int
}

// NewPrompt returns the prompt of a request for a unit. Targets keep parts for one unit and one wall only; the wall is "" where all callers share.
func NewPrompt(unit feed.Unit, wall string, parts []celerylanding.PromptPart) Prompt {
	prompt := Prompt{model: unit.Model}
	for _, part := range parts {
		prompt.tokens += max(0, part.Tokens)
	}
	if prompt.tokens < minTokens || len(parts) < 2 {
		return prompt
	}
	var digest xxhash.Digest
	digest.Reset()
	writeField(&digest, string(unit.Model))
	writeField(&digest, unit.Adapter)
	writeField(&digest, wall)
	total, pending := 0, 0
	for _, part := range parts[:len(parts)-1] {
		if prompt.length == maxLinks {
			break
		}
		writeField(&digest, part.ID)
		tokens := max(0, part.Tokens)
		total += tokens
		pending += tokens
		if total >= minTokens {
			prompt.links[prompt.length] = link{chain: digest.Sum64(), tokens: pending, total: total}
			prompt.length++
			pending = 0
		}
	}
	return prompt
}

// writeField adds a text and its end to the digest, so that two texts can't be taken for one.
func writeField(digest *xxhash.Digest, text string) {
	_, _ = digest.WriteString(text)
	_, _ = digest.Write([]byte{0})
}

// SharedTokens returns the length of the beginning that other requests may share; zero if it is too short to matter.
func (prompt *Prompt) SharedTokens() int {
	if prompt.length == 0 {
		return 0
	}
	return prompt.links[prompt.length-1].total
}

// Tokens returns the length of the whole prompt.
func (prompt *Prompt) Tokens() int { return prompt.tokens }

// Speed is the time in which a target reads one token of a prompt.
type Speed time.Duration

// read returns the time in which the target reads a number of tokens.
func (speed Speed) read(tokens int) time.Duration {
	return time.Duration(speed) * time.Duration(tokens)
}
