// Package proxy is the HTTP reverse proxy for callers: it forwards each request to a target that can run it, retries where that is safe,
// and returns the target's answer or a refusal.
package proxy
