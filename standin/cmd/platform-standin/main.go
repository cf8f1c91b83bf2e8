// Command platform-standin serves the platform's protocol from a directory.
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
	flag.DurationVar(&c.VMLag, "vm-lag", 0, "readers see a changed VM list this late")
	flag.Float64Var(&c.ReadsPerSecond, "rate", defaultReadsPerSecond, "reads a second over all readers, 0 for no limit")
	flag.Parse()
	p := platform.New(c)
	if *dir != "" {
		if err := p.LoadDir(*dir); err != nil {
			log := serve.Logger("platform")
			log.Fatal().Err(err).Msg("cannot load the directory")
		}
	}
	serve.Main(serve.Options{Name: "platform", Listen: *listen, Handler: p})
}
