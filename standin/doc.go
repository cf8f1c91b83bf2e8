// Package standin is the root of packages that simulate the environment of
// cassialatch in tests, benchmarks and demos: the platform, the metadata store, model
// engines, plain services, backend servers and callers. The daemons and tools of
// cassialatch are built without them.
package standin
