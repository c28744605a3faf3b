// Package netfault opens connections that behave like TCP on Linux over links that lose, delay or cut packets, also in one direction only. Tests use it
// in place of a real network, which can't be harmed without special rights.
package netfault
