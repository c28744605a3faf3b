package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/target"
)

// ServiceOptions describe a stand-in service.
type ServiceOptions struct {
	Announcement celerylanding.Announcement
	// Delay is the time that a call takes.
	Delay time.Duration
}

// Service is a stand-in ledger that counts how often each redemption ran.
type Service struct {
	mutex    sync.Mutex
	options  ServiceOptions
	sequence uint64
	runs     map[string]int
	leaving  bool
}

// redemption is the body of a call that may run once only.
type redemption struct {
	Voucher string `json:"voucher"`
}

// receipt is the answer to a redemption.
type receipt struct {
	Voucher string `json:"voucher"`
	Runs    int    `json:"runs"`
}

// NewService returns a service without records.
func NewService(options ServiceOptions) *Service {
	return &Service{options: options, runs: make(map[string]int)}
}

// Handler returns the service's HTTP interface.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/ready", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /redeem", service.redeem)
	mux.HandleFunc("GET /balance", service.balance)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(target.HeaderRequestID, request.Header.Get(target.HeaderRequestID))
		mux.ServeHTTP(writer, request)
	})
}

// Announcement returns what the service says of itself now.
func (service *Service) Announcement() celerylanding.Announcement {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.sequence++
	announcement := service.options.Announcement
	announcement.Sequence = service.sequence
	announcement.Leaving = service.leaving
	return announcement
}

// Runs returns how often the voucher was redeemed.
func (service *Service) Runs(voucher string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.runs[voucher]
}

func (service *Service) redeem(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var wanted redemption
	if err := json.Unmarshal(body, &wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	service.mutex.Lock()
	service.runs[wanted.Voucher]++
	runs := service.runs[wanted.Voucher]
	service.mutex.Unlock()
	time.Sleep(service.options.Delay)
	writeJSON(writer, receipt{Voucher: wanted.Voucher, Runs: runs})
}

func (service *Service) balance(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(service.options.Delay)
	voucher := request.URL.Query().Get("voucher")
	writeJSON(writer, receipt{Voucher: voucher, Runs: service.Runs(voucher)})
}
