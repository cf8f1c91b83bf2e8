package main

import (
	"context"
	"strconv"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
)

// memoryTokens is the number of tokens of a stream, enough for the streams to
// outlast the measurement.
const memoryTokens = 100

// measureStreamMemory measures the memory use of both daemons while the given
// number of streams is open.
func (b *bench) measureStreamMemory(ctx context.Context, p *pair, streams int) error {
	done := make(chan *latencies, 1)
	go func() {
		if streams == 0 {
			done <- nil
			return
		}
		done <- runCallers(ctx, p.fleet.HTTP, p.entry.CallerAddress, streams, memoryTokens, time.Second)
	}()
	time.Sleep(4 * time.Second)
	for name, d := range map[string]*fleetproc.Daemon{"home": p.home, "entry": p.entry} {
		usage, err := d.Usage()
		if err != nil {
			return err
		}
		b.add("resident "+name, strconv.Itoa(streams)+" streams", float64(usage.ResidentBytes)/(1<<20), "MiB")
	}
	if l := <-done; l != nil {
		b.add("memory failed", strconv.Itoa(streams)+" streams", float64(l.failed.Load()), "requests")
	}
	return nil
}
