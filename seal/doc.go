// Package seal is part of cassialatch.
package seal
