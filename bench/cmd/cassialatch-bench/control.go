package main

import (
	"context"
	"strconv"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/engine"
)

// Shape of the fleets without requests.
const (
	enginesPerNine = 20
	zones          = 3
	settle         = 6 * time.Second // after all are ready
)

// base is the base document of fleets that measure the daemons, not the bound.
const base = `
[models.bench-model]
load_factor = 1.5
min_in_flight = 512
max_in_flight = 512
queue_timeout = "10s"
deadline = "60s"

[services.bench-app]
max_in_flight = 64
queue_timeout = "5s"
deadline = "10s"

[workspaces.bench]
models = ["bench-model"]
services = ["bench-app"]
class = "chat"
`

// used is the sum over a fleet at one moment.
type used struct {
	at                time.Time
	cpu               time.Duration
	resident          uint64
	peer              uint64 // control connections that the daemons opened
	reports, platform uint64
}

// measureControl measures fleets of growing size that get no requests.
func measureControl(ctx context.Context, b *bench) error {
	for _, size := range b.sizes {
		shape := fleetShape{strconv.Itoa(size), size, enginesPerNine * size / 9, zones}
		if err := b.controlOf(ctx, shape); err != nil {
			return err
		}
	}
	return nil
}

// fleetShape is a fleet without requests.
type fleetShape struct {
	name                    string
	daemons, engines, zones int
}

// measureZone measures one availability zone of the users' target, where each
// daemon lends to and borrows from others of its zone only.
func measureZone(ctx context.Context, b *bench) error {
	return b.controlOf(ctx, fleetShape{"zone of target", 39, 200, 1})
}

// controlOf measures one fleet.
func (b *bench) controlOf(ctx context.Context, shape fleetShape) error {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: b.binary, Dir: b.dir, Network: b.network, BaseDocument: base, Daemons: shape.daemons,
		Engines: shape.engines, Zones: shape.zones, EngineConfig: engine.DefaultConfig(),
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	time.Sleep(settle)
	before, err := usedBy(ctx, f)
	if err != nil {
		return err
	}
	time.Sleep(b.length)
	after, err := usedBy(ctx, f)
	if err != nil {
		return err
	}
	b.addControl(shape.name, before, after, float64(shape.daemons))
	return nil
}

// addControl reports the means over a fleet's daemons.
func (b *bench) addControl(size string, before, after used, daemons float64) {
	daemonSeconds := after.at.Sub(before.at).Seconds() * daemons
	rate := func(from, to uint64) float64 { return float64(to-from) / daemonSeconds }
	b.add("control cpu", size, 100*(after.cpu-before.cpu).Seconds()/daemonSeconds, "% of a core")
	// Each byte of a control connection passes both of its ends.
	b.add("control peers", size, 2*rate(before.peer, after.peer), "B/s")
	b.add("control reports", size, rate(before.reports, after.reports), "B/s")
	b.add("control platform", size, rate(before.platform, after.platform), "B/s")
	b.add("control resident", size, float64(after.resident)/daemons/(1<<20), "MiB")
}

// usedBy sums over the daemons of a fleet.
func usedBy(ctx context.Context, f *fleetproc.Fleet) (used, error) {
	u := used{at: time.Now(), platform: f.PlatformBytes.Total()}
	for _, e := range f.Engines {
		u.reports += e.Bytes.Total()
	}
	for _, d := range f.Daemons {
		usage, err := d.Usage()
		if err != nil {
			return u, err
		}
		u.cpu += usage.CPU
		u.resident += usage.ResidentBytes
		status, err := f.Status(ctx, d)
		if err != nil {
			return u, err
		}
		for _, kind := range status.Control {
			if kind.Kind == "peer" {
				u.peer += kind.SentBytes + kind.ReadBytes
			}
		}
	}
	return u, nil
}
