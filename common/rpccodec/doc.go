// Package rpccodec carries net/rpc calls as length-prefixed CBOR frames of bounded size.
package rpccodec
