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

// announceTimeout bounds the sending of an announcement to one node.
const announceTimeout = 2 * time.Second

// hostedTarget is a fake target that a Host can serve.
type hostedTarget interface {
	Handler() http.Handler
	Announcement() celerylanding.Announcement
}

// Host serves a fake target and sends its announcements to the nodes in turn, as through a load balancer.
type Host struct {
	listener net.Listener
	nodes    []string
	interval time.Duration
	target   hostedTarget
}

// NewHost returns a host that sends announcements at the interval to nodes, which are the nodes' addresses for targets.
func NewHost(listener net.Listener, hosted hostedTarget, nodes []string, interval time.Duration) *Host {
	return &Host{listener: listener, nodes: nodes, interval: interval, target: hosted}
}

// Run serves the target and sends announcements until the context ends.
func (host *Host) Run(ctx context.Context) error {
	server := &http.Server{Handler: host.target.Handler()}
	served := make(chan error, 1)
	go func() { served <- server.Serve(host.listener) }()
	announcerDone := make(chan struct{})
	go host.announce(ctx, announcerDone)
	select {
	case <-ctx.Done():
	case err := <-served:
		<-announcerDone
		return err
	}
	err := server.Close()
	<-announcerDone
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

func (host *Host) announce(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(host.interval)
	defer ticker.Stop()
	// Targets that start together start with different nodes, as behind a load balancer.
	first := 0
	if address, ok := host.listener.Addr().(*net.TCPAddr); ok {
		first = address.Port % len(host.nodes)
	}
	for turn := first; ; turn++ {
		for attempt := range host.nodes {
			if host.announceTo(ctx, host.nodes[(turn+attempt)%len(host.nodes)]) == nil {
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
	body, err := json.Marshal(host.target.Announcement())
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
