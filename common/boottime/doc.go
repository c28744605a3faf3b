// Package boottime reads the boot-time clock, which keeps running while the machine is suspended.
package boottime
