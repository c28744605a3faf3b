// Package wal keeps the durable records of the control log in one checksummed file of a data folder.
package wal
