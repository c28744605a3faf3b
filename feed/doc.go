// Package feed defines the messages by which routers and control nodes watch the leader's state and request model loads.
package feed
