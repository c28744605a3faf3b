package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/target"
)

// crashMarker in a prompt makes the engine crash while it serves the request.
const crashMarker = "CRASH"

// EngineOptions describe a fake engine.
type EngineOptions struct {
	Announcement celerylanding.Announcement
	// LoadTime is the duration of a model load; an adapter takes a hundredth of it.
	LoadTime time.Duration
	// TokenTime is the time to generate a token.
	TokenTime time.Duration
	// Tokens is the number of generated tokens if a request states no limit.
	Tokens int
	// Crash is called when a request with the crash marker in its prompt arrives; nil disables crashes.
	Crash func()
}

// Engine is a fake model engine.
type Engine struct {
	mutex      sync.Mutex
	options    EngineOptions
	loaded     map[celerylanding.ModelID]celerylanding.LoadedModel
	fence      celerylanding.FencingToken
	sequence   uint64
	running    int
	leaving    bool
	loadCounts map[celerylanding.ModelID]int
	peakBytes  celerylanding.Bytes
	served     int
	cancelled  int
}

// NewEngine returns an engine that has loaded the models of the announcement's inventory.
func NewEngine(options EngineOptions) *Engine {
	engine := &Engine{
		options:    options,
		loaded:     make(map[celerylanding.ModelID]celerylanding.LoadedModel),
		loadCounts: make(map[celerylanding.ModelID]int),
	}
	for _, model := range options.Announcement.Inventory {
		engine.loaded[model.Model] = model
	}
	return engine
}

// Handler returns the handler of the engine's HTTP API.
func (engine *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/repository/models/{model}/load", engine.load)
	mux.HandleFunc("POST /v2/repository/models/{model}/unload", engine.unload)
	mux.HandleFunc("POST /v2/repository/index", engine.index)
	mux.HandleFunc("POST /v2/repository/fence", engine.raiseFence)
	mux.HandleFunc("POST /v2/repository/role", engine.changeRole)
	mux.HandleFunc("GET /v2/health/ready", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /v1/chat/completions", engine.complete)
	mux.HandleFunc("POST /v1/completions", engine.complete)
	return mux
}

// Announcement returns the engine's current announcement; each call advances the sequence number.
func (engine *Engine) Announcement() celerylanding.Announcement {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sequence++
	announcement := engine.options.Announcement
	announcement.Sequence = engine.sequence
	announcement.Leaving = engine.leaving
	announcement.Load = celerylanding.TargetLoad{Running: engine.running}
	announcement.Inventory = engine.inventory()
	return announcement
}

// Drain starts draining: the engine rejects new requests, and running ones go on.
func (engine *Engine) Drain() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = true
}

// Loads returns the number of loads of the model that were started.
func (engine *Engine) Loads(model celerylanding.ModelID) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.loadCounts[model]
}

// PeakBytes returns the highest memory use so far.
func (engine *Engine) PeakBytes() celerylanding.Bytes {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.peakBytes
}

// Holds reports whether the engine has loaded or is loading the model.
func (engine *Engine) Holds(model celerylanding.ModelID) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	_, ok := engine.loaded[model]
	return ok
}

// Served returns the number of completed responses.
func (engine *Engine) Served() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.served
}

// Cancelled returns the number of generations that were cancelled by a disconnect of the caller.
func (engine *Engine) Cancelled() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cancelled
}

func (engine *Engine) inventory() []celerylanding.LoadedModel {
	models := make([]celerylanding.LoadedModel, 0, len(engine.loaded))
	for _, model := range engine.loaded {
		models = append(models, model)
	}
	slices.SortFunc(models, func(left, right celerylanding.LoadedModel) int {
		return strings.Compare(string(left.Model), string(right.Model))
	})
	return models
}

// checkOrder checks the incarnation and fencing token of an order and answers an invalid order with an error; the caller holds the mutex.
func (engine *Engine) checkOrder(writer http.ResponseWriter, request *http.Request) (target.OrderParameters, bool) {
	var body target.OrderBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return target.OrderParameters{}, false
	}
	if body.Parameters.Incarnation != engine.options.Announcement.Incarnation {
		http.Error(writer, "another incarnation", http.StatusGone)
		return target.OrderParameters{}, false
	}
	if engine.options.Announcement.Fencing {
		if body.Parameters.Fence < engine.fence {
			http.Error(writer, "stale fence", http.StatusConflict)
			return target.OrderParameters{}, false
		}
		engine.fence = body.Parameters.Fence
	}
	return body.Parameters, true
}

func (engine *Engine) raiseFence(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.checkOrder(writer, request)
}

func (engine *Engine) changeRole(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if parameters, ok := engine.checkOrder(writer, request); ok {
		engine.options.Announcement.Role = parameters.Role
	}
}

func (engine *Engine) load(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	parameters, ok := engine.checkOrder(writer, request)
	model := celerylanding.ModelID(request.PathValue("model"))
	if !ok {
		engine.mutex.Unlock()
		return
	}
	if existing, ok := engine.loaded[model]; ok {
		engine.mutex.Unlock()
		if existing.State != "ready" {
			http.Error(writer, "busy", http.StatusServiceUnavailable)
		}
		return
	}
	engine.loadCounts[model]++
	engine.loaded[model] = celerylanding.LoadedModel{Model: model, Bytes: parameters.Bytes, State: "loading"}
	engine.updatePeak()
	duration := engine.options.LoadTime
	if parameters.Base != "" {
		duration /= 100
	}
	engine.mutex.Unlock()
	// A load continues after its caller has disconnected.
	time.Sleep(duration)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if existing, ok := engine.loaded[model]; ok {
		existing.State = "ready"
		engine.loaded[model] = existing
	}
}

func (engine *Engine) updatePeak() {
	var total celerylanding.Bytes
	for _, model := range engine.loaded {
		total += model.Bytes
	}
	engine.peakBytes = max(engine.peakBytes, total)
}

func (engine *Engine) unload(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if _, ok := engine.checkOrder(writer, request); !ok {
		return
	}
	model := celerylanding.ModelID(request.PathValue("model"))
	if engine.loaded[model].State == "loading" {
		http.Error(writer, "busy", http.StatusServiceUnavailable)
		return
	}
	delete(engine.loaded, model)
}

func (engine *Engine) index(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	index := target.Index{Incarnation: engine.options.Announcement.Incarnation}
	for _, model := range engine.inventory() {
		index.Models = append(index.Models, target.IndexEntry{Name: model.Model, State: model.State, Bytes: model.Bytes})
	}
	writeJSON(writer, index)
}

// completionRequest is the part of an OpenAI completion request that the fake engine reads.
type completionRequest struct {
	Model    celerylanding.ModelID `json:"model"`
	Stream   bool                  `json:"stream"`
	Prompt   string                `json:"prompt"`
	Tokens   int                   `json:"max_tokens"`
	Messages []chatMessage         `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(target.HeaderRequestID, request.Header.Get(target.HeaderRequestID))
	var body completionRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !engine.beginRequest(writer, body.Model) {
		return
	}
	defer engine.endRequest()
	prompt := body.Prompt
	for _, message := range body.Messages {
		prompt += message.Content
	}
	if strings.Contains(prompt, crashMarker) && engine.options.Crash != nil {
		engine.options.Crash()
		return
	}
	tokens := engine.options.Tokens
	if body.Tokens > 0 {
		tokens = body.Tokens
	}
	if body.Stream {
		engine.stream(request.Context(), writer, body, prompt, tokens)
		return
	}
	if !engine.generate(request.Context(), tokens) {
		return
	}
	text := completionText(prompt, tokens)
	finishReason := "stop"
	writeJSON(writer, completionResponse{ID: request.Header.Get(target.HeaderRequestID), Object: "chat.completion",
		Model:   string(body.Model),
		Choices: []completionChoice{{Text: text, Message: &chatMessage{"assistant", text}, FinishReason: &finishReason}}})
	engine.countServed()
}

func completionText(prompt string, tokens int) string {
	tokenTexts := make([]string, 0, tokens)
	for i := range tokens {
		tokenTexts = append(tokenTexts, token(prompt, i))
	}
	return strings.Join(tokenTexts, " ")
}

func token(prompt string, index int) string {
	return fmt.Sprintf("%s#%d", prompt, index)
}

func (engine *Engine) beginRequest(writer http.ResponseWriter, model celerylanding.ModelID) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.leaving {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, `{"error":{"code":"leaving"}}`, http.StatusServiceUnavailable)
		return false
	}
	if engine.loaded[model].State != "ready" {
		http.Error(writer, `{"error":{"code":"model_not_loaded"}}`, http.StatusNotFound)
		return false
	}
	engine.running++
	return true
}

func (engine *Engine) endRequest() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running--
}

func (engine *Engine) countServed() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.served++
}

// generate waits for the time to generate the tokens; it returns false if the caller has disconnected.
func (engine *Engine) generate(ctx context.Context, tokens int) bool {
	select {
	case <-time.After(time.Duration(tokens) * engine.options.TokenTime):
		return true
	case <-ctx.Done():
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		engine.cancelled++
		return false
	}
}

func (engine *Engine) stream(ctx context.Context, writer http.ResponseWriter, body completionRequest, prompt string, tokens int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(writer)
	for i := range tokens {
		if !engine.generate(ctx, 1) {
			return
		}
		chunk := completionResponse{Object: "chat.completion.chunk", Model: string(body.Model),
			Choices: []completionChoice{{Delta: &chatMessage{"assistant", token(prompt, i)}, Text: token(prompt, i)}}}
		encoded, err := json.Marshal(chunk)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(writer, "data: %s\n\n", encoded); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
	if _, err := fmt.Fprint(writer, "data: [DONE]\n\n"); err == nil {
		engine.countServed()
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}
