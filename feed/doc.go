// Package feed holds the messages by which the leader keeps routers and the other control nodes up to date.
package feed
