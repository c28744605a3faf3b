// Package wal implements the write-ahead log: it stores the durable records of the control log in one checksummed file of a data folder.
package wal
