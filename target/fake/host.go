package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

// announceTimeout bounds one announcement.
const announceTimeout = 2 * time.Second

// announcer is a stand-in that can be hosted.
type announcer interface {
	Handler() http.Handler
	Announcement() celerylanding.Announcement
}

// Host serves a stand-in and announces it to the nodes in turn, as a balancer would.
type Host struct {
	listener net.Listener
	nodes    []string
	interval time.Duration
	standIn  announcer
}

// NewHost returns a host that announces to the nodes' target addresses.
func NewHost(listener net.Listener, standIn announcer, nodes []string, interval time.Duration) *Host {
	return &Host{listener: listener, nodes: nodes, interval: interval, standIn: standIn}
}

// Run serves until the context ends.
func (host *Host) Run(ctx context.Context) error {
	server := &http.Server{Handler: host.standIn.Handler()}
	done := make(chan error, 1)
	go func() { done <- server.Serve(host.listener) }()
	announced := make(chan struct{})
	go host.announce(ctx, announced)
	select {
	case <-ctx.Done():
	case err := <-done:
		<-announced
		return err
	}
	err := server.Close()
	<-announced
	if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

func (host *Host) announce(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(host.interval)
	defer ticker.Stop()
	// Stand-ins that start together begin with different nodes, as behind a balancer.
	first := 0
	if address, ok := host.listener.Addr().(*net.TCPAddr); ok {
		first = address.Port % len(host.nodes)
	}
	for turn := first; ; turn++ {
		for try := range host.nodes {
			if host.announceTo(ctx, host.nodes[(turn+try)%len(host.nodes)]) == nil {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (host *Host) announceTo(ctx context.Context, node string) error {
	body, err := json.Marshal(host.standIn.Announcement())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node+"/targets/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}
