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

// crashMarker in a prompt makes the engine die while it serves the request.
const crashMarker = "CRASH"

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Announcement celerylanding.Announcement
	// LoadTime is how long a load of a model takes; adapters take a hundredth of it.
	LoadTime time.Duration
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// Tokens is the length of an answer.
	Tokens int
	// Crash is called when a request kills the engine.
	Crash func()
}

// Engine is a stand-in model engine.
type Engine struct {
	mutex     sync.Mutex
	options   EngineOptions
	loaded    map[celerylanding.ModelID]celerylanding.LoadedModel
	fence     celerylanding.Fence
	sequence  uint64
	running   int
	leaving   bool
	loads     map[celerylanding.ModelID]int
	peak      celerylanding.Bytes
	served    int
	cancelled int
}

// NewEngine returns an engine that holds nothing.
func NewEngine(options EngineOptions) *Engine {
	engine := &Engine{
		options: options,
		loaded:  make(map[celerylanding.ModelID]celerylanding.LoadedModel),
		loads:   make(map[celerylanding.ModelID]int),
	}
	for _, model := range options.Announcement.Inventory {
		engine.loaded[model.Model] = model
	}
	return engine
}

// Handler returns the engine's HTTP interface.
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

// Announcement returns what the engine says of itself now.
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

// Drain makes the engine refuse new work; what runs goes on.
func (engine *Engine) Drain() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = true
}

// Loads returns how often a load of the model began.
func (engine *Engine) Loads(model celerylanding.ModelID) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.loads[model]
}

// PeakBytes returns the largest memory use so far.
func (engine *Engine) PeakBytes() celerylanding.Bytes {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.peak
}

// Holds reports whether the model takes memory on the engine.
func (engine *Engine) Holds(model celerylanding.ModelID) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	_, ok := engine.loaded[model]
	return ok
}

// Served returns how many answers were completed.
func (engine *Engine) Served() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.served
}

// Cancelled returns how many answers were ended by the caller.
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

// admit checks the fence and incarnation of an order; the mutex is held.
func (engine *Engine) admit(writer http.ResponseWriter, request *http.Request) (target.OrderParameters, bool) {
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
	engine.admit(writer, request)
}

func (engine *Engine) changeRole(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if parameters, ok := engine.admit(writer, request); ok {
		engine.options.Announcement.Role = parameters.Role
	}
}

func (engine *Engine) load(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	parameters, ok := engine.admit(writer, request)
	model := celerylanding.ModelID(request.PathValue("model"))
	if !ok {
		engine.mutex.Unlock()
		return
	}
	if present, ok := engine.loaded[model]; ok {
		engine.mutex.Unlock()
		if present.State != "ready" {
			http.Error(writer, "busy", http.StatusServiceUnavailable)
		}
		return
	}
	engine.loads[model]++
	engine.loaded[model] = celerylanding.LoadedModel{Model: model, Bytes: parameters.Bytes, State: "loading"}
	engine.notePeak()
	duration := engine.options.LoadTime
	if parameters.Base != "" {
		duration /= 100
	}
	engine.mutex.Unlock()
	// A load that has begun goes on when its caller is gone.
	time.Sleep(duration)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if present, ok := engine.loaded[model]; ok {
		present.State = "ready"
		engine.loaded[model] = present
	}
}

func (engine *Engine) notePeak() {
	var sum celerylanding.Bytes
	for _, model := range engine.loaded {
		sum += model.Bytes
	}
	engine.peak = max(engine.peak, sum)
}

func (engine *Engine) unload(writer http.ResponseWriter, request *http.Request) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if _, ok := engine.admit(writer, request); !ok {
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

// completionRequest is the part of an OpenAI request that the stand-in reads.
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
	if !engine.begin(writer, body.Model) {
		return
	}
	defer engine.end()
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
	answer := answerText(prompt, tokens)
	stop := "stop"
	writeJSON(writer, completionResponse{ID: request.Header.Get(target.HeaderRequestID), Object: "chat.completion",
		Model:   string(body.Model),
		Choices: []completionChoice{{Text: answer, Message: &chatMessage{"assistant", answer}, FinishReason: &stop}}})
	engine.finish()
}

func answerText(prompt string, tokens int) string {
	words := make([]string, 0, tokens)
	for i := range tokens {
		words = append(words, token(prompt, i))
	}
	return strings.Join(words, " ")
}

func token(prompt string, index int) string {
	return fmt.Sprintf("%s#%d", prompt, index)
}

func (engine *Engine) begin(writer http.ResponseWriter, model celerylanding.ModelID) bool {
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

func (engine *Engine) end() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.running--
}

func (engine *Engine) finish() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.served++
}

// generate waits for the tokens' time; it is false when the caller is gone.
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
		engine.finish()
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}
