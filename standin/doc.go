// Package standin is part of cassialatch.
package standin
