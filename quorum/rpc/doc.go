// Package rpc provides the client and the server for net/rpc calls between the processes of the system.
package rpc
