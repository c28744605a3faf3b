package node

import (
	"context"
	"net"
	"net/http"
)

func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	// Shutdown lets the answers under way reach their callers; nothing is left to run after the drain.
	ending, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	err := server.Shutdown(ending)
	if err != nil {
		err = server.Close()
	}
	<-served
	return err
}

func (node *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if node.chart.HasFlag(node.life(), flagDraining) {
			// Callers that keep connections open move to another node before this one stops.
			writer.Header().Set("Connection", "close")
		}
		node.gateway.ServeHTTP(writer, request)
	})
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		state := node.life()
		if !node.chart.HasFlag(state, flagReady) {
			http.Error(writer, string(state), http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	return mux
}

func (node *Node) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /targets/announce", node.serveAnnouncement)
	return mux
}

func (node *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /operate/submit", node.serveSubmit)
	mux.HandleFunc("GET /operate/show", node.serveShow)
	mux.Handle("GET /metrics", node.reporter.HTTPHandler())
	return mux
}
