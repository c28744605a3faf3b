// Package gateway serves callers over HTTP: model requests in the OpenAI forms and calls to plain services.
package gateway
