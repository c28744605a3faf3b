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

// ServiceOptions describe a fake service.
type ServiceOptions struct {
	Announcement celerylanding.Announcement
	// Delay is the duration of a call.
	Delay time.Duration
}

// Service is a fake plain service that redeems vouchers and counts the redemptions of each one.
type Service struct {
	mutex    sync.Mutex
	options  ServiceOptions
	sequence uint64
	runs     map[string]int
	leaving  bool
}

// redemption is the request body of a redemption, which is not idempotent.
type redemption struct {
	Voucher string `json:"voucher"`
}

// receipt is the response body of a redemption or balance call.
type receipt struct {
	Voucher string `json:"voucher"`
	Runs    int    `json:"runs"`
}

// NewService returns a service without redemptions.
func NewService(options ServiceOptions) *Service {
	return &Service{options: options, runs: make(map[string]int)}
}

// Handler returns the handler of the service's HTTP API.
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

// Announcement returns the service's current announcement; each call advances the sequence number.
func (service *Service) Announcement() celerylanding.Announcement {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.sequence++
	announcement := service.options.Announcement
	announcement.Sequence = service.sequence
	announcement.Leaving = service.leaving
	return announcement
}

// Runs returns the number of redemptions of the voucher.
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
	var requested redemption
	if err := json.Unmarshal(body, &requested); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	service.mutex.Lock()
	service.runs[requested.Voucher]++
	runs := service.runs[requested.Voucher]
	service.mutex.Unlock()
	time.Sleep(service.options.Delay)
	writeJSON(writer, receipt{Voucher: requested.Voucher, Runs: runs})
}

func (service *Service) balance(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(service.options.Delay)
	voucher := request.URL.Query().Get("voucher")
	writeJSON(writer, receipt{Voucher: voucher, Runs: service.Runs(voucher)})
}
