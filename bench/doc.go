// Package bench is part of cassialatch.
package bench
