package promptcache

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

const (
	// maxPartsPerTarget bounds the parts that the picture holds of one target; the least recently used one is dropped first. As many parts as this
	// of 2,700 tokens fill a memory of 170,000 tokens.
	maxPartsPerTarget = 64
	// maxTargets bounds the targets in the picture; those beyond get no entries until others are gone.
	maxTargets = 1024
	// sentTTL is how long a part counts as kept that was sent and whose answer has not begun.
	sentTTL = 5 * time.Second
	// longestRetention is how long a target is believed to keep a part that no request uses, unless its answers show less.
	longestRetention = time.Minute
	// shortestRetention bounds what is learned from a late answer, which may have had other causes.
	shortestRetention = 500 * time.Millisecond
	// retentionDoubling is the time in which a shortened retention doubles again.
	retentionDoubling = 20 * time.Second
)

// keptPart is a part that a target is believed to keep.
type keptPart struct {
	tokens int
	usedAt time.Time
	// addedAt is when the part entered the picture, and uses how often it has been used since.
	addedAt time.Time
	uses    int
	// isRead is set once an answer, or another router, has shown that the target has read the part; until then it has only been sent.
	isRead bool
	// reportedAt is when this router last reported the part to the others, or has learned of it from them.
	reportedAt time.Time
}

// memory is what the picture holds of one incarnation of a target.
type memory struct {
	picture     *Picture
	id          celerylanding.TargetID
	incarnation celerylanding.Incarnation
	hash        uint64
	parts       map[uint64]keptPart
	// order holds the parts by the time of their last use, unless isChanged is set.
	order     []orderedPart
	isChanged bool
	// held is the sum of the parts' tokens.
	held int
	// loadedAt is when each model was loaded again while the picture knew the target, and zero for one that was loaded before. What was kept before
	// is gone, since unloading drops it.
	loadedAt map[celerylanding.ModelID]time.Time
	// retention is how long the target keeps an unused part, as of missedAt; zero while no answer has shown a limit.
	retention time.Duration
	missedAt  time.Time
	// misses counts the late answers since the last one that proved that parts were kept.
	misses int
}

// Picture is what a router believes that targets keep of prompts; it is safe for concurrent use.
type Picture struct {
	mutex    sync.Mutex
	memories map[celerylanding.TargetID]*memory
	byHash   map[uint64]*memory
	// holders are the targets that are believed to have each part.
	holders map[uint64][]*memory
	pending []pendingPart
	// requestTokens is the average size of the requests sent, in tokens.
	requestTokens float64
}

// New returns an empty picture.
func New() *Picture {
	return &Picture{memories: make(map[celerylanding.TargetID]*memory), byHash: make(map[uint64]*memory),
		holders: make(map[uint64][]*memory)}
}

// endpointHash identifies an incarnation of a target in messages.
func endpointHash(id celerylanding.TargetID, incarnation celerylanding.Incarnation) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	writeField(&digest, string(id))
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(incarnation >> (8 * i))
	}
	_, _ = digest.Write(bytes[:])
	return digest.Sum64()
}

// Update takes over which targets there are and which models they have loaded. What a former incarnation, a target that is gone or an unloaded
// model has kept is forgotten.
func (picture *Picture) Update(now time.Time, targets []*feed.Target) {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	listed := make(map[celerylanding.TargetID]bool, len(targets))
	for _, target := range targets {
		if len(target.Loaded) == 0 {
			continue
		}
		listed[target.ID] = true
		known := picture.memories[target.ID]
		memory := picture.memoryOf(target)
		switch {
		case memory == nil:
		case memory == known:
			memory.setLoaded(now, target)
		default:
			memory.setLoaded(time.Time{}, target)
		}
	}
	for id, memory := range picture.memories {
		if !listed[id] {
			memory.forget()
			delete(picture.memories, id)
		}
	}
}

// setLoaded takes over the loaded models; those that were not loaded before have been loaded at the given time.
func (memory *memory) setLoaded(at time.Time, target *feed.Target) {
	for model := range memory.loadedAt {
		if !hasModel(target, model) {
			delete(memory.loadedAt, model)
		}
	}
	for _, model := range target.Loaded {
		if _, ok := memory.loadedAt[model.Model]; !ok {
			memory.loadedAt[model.Model] = at
		}
	}
}

func hasModel(target *feed.Target, id celerylanding.ModelID) bool {
	for _, model := range target.Loaded {
		if model.Model == id {
			return true
		}
	}
	return false
}

// memoryOf returns what is held of a target, or nil if the picture has no room for another target.
func (picture *Picture) memoryOf(target *feed.Target) *memory {
	known := picture.memories[target.ID]
	if known != nil && known.incarnation == target.Incarnation {
		return known
	}
	if known != nil {
		known.forget()
	} else if len(picture.memories) >= maxTargets {
		return nil
	}
	known = &memory{picture: picture, id: target.ID, incarnation: target.Incarnation, hash: endpointHash(target.ID, target.Incarnation), parts: make(map[uint64]keptPart),
		loadedAt: make(map[celerylanding.ModelID]time.Time)}
	picture.memories[target.ID] = known
	picture.byHash[known.hash] = known
	return known
}

// find returns what is held of an incarnation of a target, or nil.
func (picture *Picture) find(endpoint celerylanding.Endpoint) *memory {
	memory := picture.memories[endpoint.Target]
	if memory == nil || memory.incarnation != endpoint.Incarnation {
		return nil
	}
	return memory
}

// Kept returns the number of leading tokens of the prompt that the target is believed to keep, and the time since the last of them were used.
func (picture *Picture) Kept(now time.Time, endpoint celerylanding.Endpoint, prompt *Prompt) (tokens int, age time.Duration) {
	if prompt.length == 0 {
		return 0, 0
	}
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	memory := picture.find(endpoint)
	if memory == nil {
		return 0, 0
	}
	return memory.kept(now, prompt, memory.currentRetention(now))
}

// Keeper is a target that is believed to keep the beginning of a prompt.
type Keeper struct {
	Endpoint celerylanding.Endpoint
	// Tokens is the number of leading tokens that it keeps.
	Tokens int
}

// AppendKeepers appends the targets that are believed to keep the beginning of the prompt, at most limit of them. Where there are more, chance in
// [0, 1) decides from which one on they are looked at.
func (picture *Picture) AppendKeepers(keepers []Keeper, now time.Time, prompt *Prompt, limit int, chance float64) []Keeper {
	if prompt.length == 0 {
		return keepers
	}
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	holders := picture.holders[prompt.links[0].chain]
	start := 0
	if len(holders) > limit {
		start = int(chance * float64(len(holders)))
	}
	for i := range holders {
		if len(keepers) >= limit {
			break
		}
		memory := holders[(start+i)%len(holders)]
		if tokens, _ := memory.kept(now, prompt, memory.currentRetention(now)); tokens > 0 {
			keepers = append(keepers, Keeper{celerylanding.Endpoint{Target: memory.id, Incarnation: memory.incarnation}, tokens})
		}
	}
	return keepers
}

// kept returns the leading tokens of the prompt that the target keeps if it keeps unused parts for the retention.
func (memory *memory) kept(now time.Time, prompt *Prompt, retention time.Duration) (tokens int, age time.Duration) {
	loadedAt, isLoaded := memory.loadedAt[prompt.model]
	if !isLoaded {
		return 0, 0
	}
	for _, link := range prompt.links[:prompt.length] {
		part, ok := memory.parts[link.chain]
		partAge := now.Sub(part.usedAt)
		if !ok || partAge > retention || part.usedAt.Before(loadedAt) || (!part.isRead && partAge > sentTTL) {
			break
		}
		tokens, age = link.total, partAge
	}
	return tokens, age
}

// currentRetention returns how long the target is believed to keep a part that no request uses.
func (memory *memory) currentRetention(now time.Time) time.Duration {
	if memory.retention == 0 {
		return longestRetention
	}
	grown := memory.retention.Seconds() * math.Exp2(now.Sub(memory.missedAt).Seconds()/retentionDoubling.Seconds())
	return time.Duration(min(grown, longestRetention.Seconds()) * float64(time.Second))
}

// add records that the target has or gets the parts of the prompt.
func (memory *memory) add(now time.Time, prompt *Prompt, isRead bool) {
	for _, link := range prompt.links[:prompt.length] {
		part, ok := memory.parts[link.chain]
		if !ok {
			memory.makeRoom()
			part = keptPart{addedAt: now}
		}
		part.tokens, part.usedAt = link.tokens, now
		part.isRead = part.isRead || isRead
		if !isRead {
			part.uses++
		}
		memory.put(link.chain, part)
	}
}

// put stores a part.
func (memory *memory) put(chain uint64, part keptPart) {
	former, ok := memory.parts[chain]
	if !ok {
		memory.picture.holders[chain] = append(memory.picture.holders[chain], memory)
	}
	memory.held += part.tokens - former.tokens
	memory.parts[chain] = part
	memory.isChanged = true
}

// drop removes a part.
func (memory *memory) drop(chain uint64) {
	memory.held -= memory.parts[chain].tokens
	delete(memory.parts, chain)
	memory.isChanged = true
	holders := memory.picture.holders
	if i := slices.Index(holders[chain], memory); i >= 0 {
		holders[chain] = slices.Delete(holders[chain], i, i+1)
	}
	if len(holders[chain]) == 0 {
		delete(holders, chain)
	}
}

// forget removes all parts, of a target that is gone or has restarted.
func (memory *memory) forget() {
	for chain := range memory.parts {
		memory.drop(chain)
	}
	delete(memory.picture.byHash, memory.hash)
}

// makeRoom drops the least recently used part if the picture holds as many of the target as it may.
func (memory *memory) makeRoom() {
	if len(memory.parts) < maxPartsPerTarget {
		return
	}
	var oldest uint64
	var usedAt time.Time
	for chain, part := range memory.parts {
		if usedAt.IsZero() || part.usedAt.Before(usedAt) {
			oldest, usedAt = chain, part.usedAt
		}
	}
	memory.drop(oldest)
}

// Size returns the number of parts in the picture.
func (picture *Picture) Size() int {
	picture.mutex.Lock()
	defer picture.mutex.Unlock()
	size := 0
	for _, memory := range picture.memories {
		size += len(memory.parts)
	}
	return size
}
