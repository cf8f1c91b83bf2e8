// Package bench is the root of the module that contains the benchmarks of
// cassialatch and the trials of its policies.
package bench
