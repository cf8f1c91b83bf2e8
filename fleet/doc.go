// Package fleet is part of cassialatch.
package fleet
