// Package preview holds the question where a request would go and its answer, as operators exchange them with a router.
package preview
