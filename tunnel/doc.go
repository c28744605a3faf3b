// Package tunnel connects a router to targets through another router. The other router passes bytes on and knows nothing of requests, so that the
// first one alone decides about them, and a connection can't be passed on a second time.
package tunnel
