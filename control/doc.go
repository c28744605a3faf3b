// Package control runs a control node: its replica of the log, the directory of targets, the orders to model engines while it leads, and
// the feed that keeps routers up to date.
package control
