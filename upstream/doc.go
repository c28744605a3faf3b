// Package upstream is an HTTP/1.1 client with a connection pool for requests to targets. It never retries a request by itself.
package upstream
