package main

import (
	"context"
	"strconv"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/engine"
)

// Parameters of the fleets without requests.
const (
	enginesPerNine = 20
	zones          = 3
	stabilizeTime  = 6 * time.Second // from readiness of all daemons to the measurement
)

// baseDocument is the base document. Its limits are high enough that the in-flight
// bound does not affect the figures.
const baseDocument = `
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

// fleetUsage is the sum of the resource usage of all daemons of a fleet at one
// time.
type fleetUsage struct {
	at                         time.Time
	cpuTime                    time.Duration
	residentBytes              uint64
	peerBytes                  uint64 // over control connections, counted by the daemon that opened them
	reportBytes, platformBytes uint64 // of the connections to the engines and to the platform, both directions
}

// measureControl measures fleets of each size in b.sizes that get no requests.
func measureControl(ctx context.Context, b *bench) error {
	for _, size := range b.sizes {
		shape := fleetShape{strconv.Itoa(size), size, enginesPerNine * size / 9, zones}
		if err := b.measureIdleFleet(ctx, shape); err != nil {
			return err
		}
	}
	return nil
}

// fleetShape is the size of a fleet that gets no requests.
type fleetShape struct {
	name                    string
	daemons, engines, zones int
}

// measureZone measures a fleet the size of one availability zone of the target
// deployment, in which daemons exchange leases only within their zone.
func measureZone(ctx context.Context, b *bench) error {
	return b.measureIdleFleet(ctx, fleetShape{"zone of target", 39, 200, 1})
}

// measureIdleFleet measures the resource usage and control traffic of one fleet.
func (b *bench) measureIdleFleet(ctx context.Context, shape fleetShape) error {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: b.binary, Dir: b.dir, Network: b.network, BaseDocument: baseDocument, Daemons: shape.daemons,
		Engines: shape.engines, Zones: shape.zones, EngineConfig: engine.DefaultConfig(),
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	time.Sleep(stabilizeTime)
	before, err := readFleetUsage(ctx, f)
	if err != nil {
		return err
	}
	time.Sleep(b.length)
	after, err := readFleetUsage(ctx, f)
	if err != nil {
		return err
	}
	b.addControlRates(shape.name, before, after, float64(shape.daemons))
	return nil
}

// addControlRates adds the mean figures per daemon.
func (b *bench) addControlRates(size string, before, after fleetUsage, daemons float64) {
	daemonSeconds := after.at.Sub(before.at).Seconds() * daemons
	rate := func(from, to uint64) float64 { return float64(to-from) / daemonSeconds }
	b.add("control cpu", size, 100*(after.cpuTime-before.cpuTime).Seconds()/daemonSeconds, "% of a core")
	// Each byte of a control connection is counted once but handled by the
	// daemons at both ends.
	b.add("control peers", size, 2*rate(before.peerBytes, after.peerBytes), "B/s")
	b.add("control reports", size, rate(before.reportBytes, after.reportBytes), "B/s")
	b.add("control platform", size, rate(before.platformBytes, after.platformBytes), "B/s")
	b.add("control resident", size, float64(after.residentBytes)/daemons/(1<<20), "MiB")
}

// readFleetUsage sums the resource usage over the daemons of a fleet.
func readFleetUsage(ctx context.Context, f *fleetproc.Fleet) (fleetUsage, error) {
	u := fleetUsage{at: time.Now(), platformBytes: f.PlatformBytes.Total()}
	for _, e := range f.Engines {
		u.reportBytes += e.Bytes.Total()
	}
	for _, d := range f.Daemons {
		usage, err := d.Usage()
		if err != nil {
			return u, err
		}
		u.cpuTime += usage.CPU
		u.residentBytes += usage.ResidentBytes
		status, err := f.Status(ctx, d)
		if err != nil {
			return u, err
		}
		for _, kind := range status.Control {
			if kind.Kind == "peer" {
				u.peerBytes += kind.SentBytes + kind.ReadBytes
			}
		}
	}
	return u, nil
}
