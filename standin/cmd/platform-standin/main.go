// Command platform-standin simulates the platform with documents and a VM list from
// a directory.
package main

import (
	"flag"

	"cassialatch.dev/standin/internal/serve"
	"cassialatch.dev/standin/platform"
)

const defaultReadsPerSecond = 2000

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "address to listen on")
	dir := flag.String("dir", "", "directory with base.toml, site-*.toml and vms.json")
	var c platform.Config
	flag.DurationVar(&c.VMLag, "vm-lag", 0, "delay until readers see a changed VM list")
	flag.Float64Var(&c.ReadsPerSecond, "rate", defaultReadsPerSecond, "maximum reads per second over all readers; 0: no limit")
	flag.Parse()
	p := platform.New(c)
	if *dir != "" {
		if err := p.LoadDir(*dir); err != nil {
			log := serve.Logger("platform")
			log.Fatal().Err(err).Msg("failed to load the directory")
		}
	}
	serve.Main(serve.Options{Name: "platform", Listen: *listen, Handler: p})
}
