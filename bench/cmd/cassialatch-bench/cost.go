package main

import (
	"context"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
)

// measureCost measures the CPU time that an entry and a home spend on each request
// and on each streamed token.
func measureCost(ctx context.Context, b *bench) error {
	p, err := startPair(ctx, b, fastEngine(time.Millisecond))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, path := range p.paths[1:] {
		short, err := b.measurePathCost(ctx, p, path, shortTokens)
		if err != nil {
			return err
		}
		long, err := b.measurePathCost(ctx, p, path, streamTokens)
		if err != nil {
			return err
		}
		b.addCost(path.name+": home", short.home, long.home)
		if path.address == p.entry.CallerAddress {
			b.addCost(path.name+": entry", short.entry, long.entry)
		}
	}
	return nil
}

// cost is the CPU time per request of both daemons of a pair.
type cost struct{ home, entry float64 } // seconds

// measurePathCost measures responses of the given number of tokens on one path.
func (b *bench) measurePathCost(ctx context.Context, p *pair, path path, tokens int) (cost, error) {
	runCallers(ctx, p.fleet.HTTP, path.address, costCallers, tokens, warmUp)
	before, err := p.cpuTime()
	if err != nil {
		return cost{}, err
	}
	startedAt := time.Now()
	l := runCallers(ctx, p.fleet.HTTP, path.address, costCallers, tokens, b.length)
	seconds := time.Since(startedAt).Seconds()
	after, err := p.cpuTime()
	if err != nil {
		return cost{}, err
	}
	responses := float64(l.responses.Load())
	b.add("rate of answers", path.name, responses/seconds, "requests/s")
	b.add("rate of tokens", path.name, responses*float64(tokens)/seconds, "tokens/s")
	b.add("cost failed", path.name, float64(l.failed.Load()), "requests")
	return cost{home: (after[0] - before[0]) / responses, entry: (after[1] - before[1]) / responses}, nil
}

// addCost adds the CPU time per request and per token, calculated from responses
// of two lengths.
func (b *bench) addCost(which string, short, long float64) {
	token := (long - short) / (streamTokens - shortTokens)
	b.add("cpu a token", which, token*1e6, "us")
	b.add("cpu a request", which, (short-token*shortTokens)*1e6, "us")
	b.add("tokens a core", which, 1/token, "tokens/s")
	b.add("requests a core", which, 1/short, "requests/s")
}

// cpuTime returns the CPU seconds used by the home and by the entry.
func (p *pair) cpuTime() ([2]float64, error) {
	var seconds [2]float64
	for i, d := range []*fleetproc.Daemon{p.home, p.entry} {
		usage, err := d.Usage()
		if err != nil {
			return seconds, err
		}
		seconds[i] = usage.CPU.Seconds()
	}
	return seconds, nil
}

// measureMemory measures the memory use of daemons with open streams.
func measureMemory(ctx context.Context, b *bench) error {
	p, err := startPair(ctx, b, fastEngine(50*time.Millisecond))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, streams := range []int{0, 100, 200, 400} {
		if err := b.measureStreamMemory(ctx, p, streams); err != nil {
			return err
		}
	}
	return nil
}
