// Command engine-standin simulates a model engine. It exits with code 3 when a
// request contains the crash marker.
package main

import (
	"flag"
	"os"

	"cassialatch.dev/standin/engine"
	"cassialatch.dev/standin/internal/serve"
)

const exitCrashed = 3

func main() {
	listen := flag.String("listen", "127.0.0.1:8000", "address to listen on")
	c := engine.DefaultConfig()
	flag.StringVar(&c.Instance, "instance", c.Instance, "ID of the process instance")
	flag.IntVar(&c.Slots, "slots", c.Slots, "maximum number of requests that run at once")
	flag.DurationVar(&c.PrefillPerToken, "prefill", c.PrefillPerToken, "prefill time per uncached prompt token")
	flag.DurationVar(&c.DecodePerToken, "decode", c.DecodePerToken, "decode time per token of a request that runs alone")
	flag.Float64Var(&c.BatchGrowth, "batch-growth", c.BatchGrowth, "relative increase of the decode time per further running request")
	flag.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "capacity of the prefix cache in tokens")
	flag.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "delay of load reports")
	flag.DurationVar(&c.EventLag, "event-lag", c.EventLag, "delay of cache events")
	flag.Uint64Var(&c.EventGap, "event-gap", c.EventGap, "drop every N-th cache event; 0: drop none")
	flag.BoolVar(&c.CheckFence, "check-fence", c.CheckFence, "refuse orders with a fencing number below the highest seen")
	flag.DurationVar(&c.ResumeGrace, "resume-grace", c.ResumeGrace, "how long a request keeps running without a reader")
	flag.DurationVar(&c.StreamRetention, "stream-keep", c.StreamRetention, "how long ended streams stay readable")
	flag.StringVar(&c.CrashMarker, "crash-marker", c.CrashMarker, "a request that contains this text ends the process; empty: none")
	flag.Parse()
	c.OnCrash = func() { os.Exit(exitCrashed) }
	serve.Main(serve.Options{Name: "engine", Listen: *listen, Handler: engine.New(c)})
}
