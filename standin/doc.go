// Package standin is the parent of the stand-ins for what surrounds cassialatch:
// the platform, model engines, plain services and callers. The product never
// links it.
package standin
