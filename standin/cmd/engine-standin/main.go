// Command engine-standin serves a model engine's protocol without a model.
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
	flag.StringVar(&c.Instance, "instance", c.Instance, "process instance")
	flag.IntVar(&c.Slots, "slots", c.Slots, "requests that run at once")
	flag.DurationVar(&c.PrefillPerToken, "prefill", c.PrefillPerToken, "time for each prompt token that is not cached")
	flag.DurationVar(&c.DecodePerToken, "decode", c.DecodePerToken, "time for each token of an answer")
	flag.Float64Var(&c.BatchGrowth, "batch-growth", c.BatchGrowth, "slower decoding for each further request, as a fraction")
	flag.IntVar(&c.CacheTokens, "cache-tokens", c.CacheTokens, "bound of the prefix cache")
	flag.DurationVar(&c.ReportLag, "report-lag", c.ReportLag, "load reports are this late")
	flag.DurationVar(&c.EventLag, "event-lag", c.EventLag, "cache events are this late")
	flag.Uint64Var(&c.EventGap, "event-gap", c.EventGap, "each N-th cache event is lost, 0 for none")
	flag.BoolVar(&c.CheckFence, "check-fence", c.CheckFence, "refuse orders with an old fencing number")
	flag.DurationVar(&c.ResumeGrace, "resume-grace", c.ResumeGrace, "work goes on this long without a reader")
	flag.DurationVar(&c.StreamRetention, "stream-keep", c.StreamRetention, "ended streams can be read this long")
	flag.StringVar(&c.CrashMarker, "crash-marker", c.CrashMarker, "a request that holds this text ends the process")
	flag.Parse()
	c.OnCrash = func() { os.Exit(exitCrashed) }
	serve.Main(serve.Options{Name: "engine", Listen: *listen, Handler: engine.New(c)})
}
