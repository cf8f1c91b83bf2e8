// Package wire holds the protocol between cassialatchd processes.
package wire
