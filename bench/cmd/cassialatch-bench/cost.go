package main

import (
	"context"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
)

// measureCost measures the processor time of an entry and a home for each
// request and each streamed token.
func measureCost(ctx context.Context, b *bench) error {
	p, err := startPair(ctx, b, fastEngine(time.Millisecond))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, path := range p.paths[1:] {
		short, err := b.costOf(ctx, p, path, shortTokens)
		if err != nil {
			return err
		}
		long, err := b.costOf(ctx, p, path, streamTokens)
		if err != nil {
			return err
		}
		b.addCost(path.name+": home", short.home, long.home)
		if path.address == p.other.CallerAddress {
			b.addCost(path.name+": entry", short.other, long.other)
		}
	}
	return nil
}

// cost is the processor time for each request of a daemon pair.
type cost struct{ home, other float64 } // seconds

// costOf measures answers of one length on one path.
func (b *bench) costOf(ctx context.Context, p *pair, path path, tokens int) (cost, error) {
	drive(ctx, p.fleet.HTTP, path.address, costCallers, tokens, warmUp)
	before, err := p.cpu()
	if err != nil {
		return cost{}, err
	}
	began := time.Now()
	l := drive(ctx, p.fleet.HTTP, path.address, costCallers, tokens, b.length)
	seconds := time.Since(began).Seconds()
	after, err := p.cpu()
	if err != nil {
		return cost{}, err
	}
	answers := float64(l.answers.Load())
	b.add("rate of answers", path.name, answers/seconds, "requests/s")
	b.add("rate of tokens", path.name, answers*float64(tokens)/seconds, "tokens/s")
	b.add("cost failed", path.name, float64(l.failed.Load()), "requests")
	return cost{home: (after[0] - before[0]) / answers, other: (after[1] - before[1]) / answers}, nil
}

// addCost reports the cost of a request and of a token, from answers of two
// lengths.
func (b *bench) addCost(which string, short, long float64) {
	token := (long - short) / (streamTokens - shortTokens)
	b.add("cpu a token", which, token*1e6, "us")
	b.add("cpu a request", which, (short-token*shortTokens)*1e6, "us")
	b.add("tokens a core", which, 1/token, "tokens/s")
	b.add("requests a core", which, 1/short, "requests/s")
}

// cpu returns the processor seconds of the home and of the other daemon.
func (p *pair) cpu() ([2]float64, error) {
	var seconds [2]float64
	for i, d := range []*fleetproc.Daemon{p.home, p.other} {
		usage, err := d.Usage()
		if err != nil {
			return seconds, err
		}
		seconds[i] = usage.CPU.Seconds()
	}
	return seconds, nil
}

// measureMemory measures the memory of daemons with open streams.
func measureMemory(ctx context.Context, b *bench) error {
	p, err := startPair(ctx, b, fastEngine(50*time.Millisecond))
	defer p.fleet.Stop()
	if err != nil {
		return err
	}
	for _, streams := range []int{0, 100, 200, 400} {
		if err := b.memoryOf(ctx, p, streams); err != nil {
			return err
		}
	}
	return nil
}
