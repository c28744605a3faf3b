// Package rpc carries calls between the processes of the system over net/rpc.
package rpc
