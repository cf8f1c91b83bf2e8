package adopt_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/adopt"
	"cassialatch.dev/wire/platformapi"
)

// BenchmarkOffer measures the adoption of a changed base document and the heap
// memory in use afterwards.
func BenchmarkOffer(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 14000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			body := baseDocument(workspaces)
			before := heapInUse()
			a := adopt.New("bench", func(*dynamic.Config) {})
			version := uint64(0)
			for b.Loop() {
				version++
				held := a.Offer(&platformapi.Document{Name: platformapi.DocumentBase, Version: version, Body: body})
				if held != version {
					b.Fatal("document was refused")
				}
			}
			b.ReportMetric(float64(len(body)), "B/document")
			b.ReportMetric(float64(heapInUse())-float64(before), "B/held")
			runtime.KeepAlive(a)
		})
	}
}

// heapInUse returns the size of live heap objects in bytes, after a garbage
// collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// baseDocument returns a base document with the given number of workspaces, which
// resemble those of the demo configuration.
func baseDocument(workspaces int) string {
	var b strings.Builder
	b.WriteString("[models.klang-model]\nmax_in_flight = 16\n[services.arkiv-app]\nmax_in_flight = 32\n")
	for i := range workspaces {
		fmt.Fprintf(&b, `
[workspaces.workspace-%d]
models = ["klang-model"]
services = ["arkiv-app"]
class = "chat"
priority = 4
weight = 1
deadline = "30s"
`, i)
	}
	return b.String()
}
