// Package celerylanding holds the domain types, verdicts and interfaces that the other packages of the serving system share.
package celerylanding
