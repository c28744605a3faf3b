// Package upstream sends HTTP requests to targets over connections that it keeps, and never sends one a second time by itself.
package upstream
