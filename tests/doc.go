// Package tests holds end-to-end tests that run nodes and targets as separate processes, and checks of the repository itself.
package tests
