// Package gateway is the HTTP interface for callers: OpenAI-compatible model requests and calls to plain services.
package gateway
