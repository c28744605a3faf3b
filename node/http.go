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
	// Shutdown lets responses in progress reach their callers; after a drain there is nothing else to wait for.
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(shutdownCtx)
	if err != nil {
		err = server.Close()
	}
	<-served
	return err
}

func (node *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		if node.chart.HasFlag(node.lifecycleState(), flagDraining) {
			// Callers that keep connections open move to another node before this one stops.
			writer.Header().Set("Connection", "close")
		}
		node.gateway.ServeHTTP(writer, request)
	})
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		state := node.lifecycleState()
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
	mux.Handle("GET /metrics", node.metricsReporter.HTTPHandler())
	return mux
}
