// Package rpccodec implements net/rpc codecs that send calls as length-prefixed CBOR frames of bounded size. Each header carries a hybrid
// logical timestamp, which the receiver's clock observes.
package rpccodec
