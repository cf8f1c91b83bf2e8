// Command service-standin simulates a plain service that records its runs in a
// ledger.
package main

import (
	"flag"
	"fmt"
	"time"

	"cassialatch.dev/standin/internal/serve"
	"cassialatch.dev/standin/plainservice"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:9000", "address to listen on")
	c := plainservice.Config{Instance: fmt.Sprintf("service-%d", time.Now().UnixNano())}
	flag.StringVar(&c.Instance, "instance", c.Instance, "ID of the process instance")
	flag.BoolVar(&c.CheckKey, "check-key", false, "respond to a repeated Idempotency-Key with the first response")
	flag.BoolVar(&c.CheckFence, "check-fence", false, "refuse calls with a fencing number below the highest seen")
	flag.DurationVar(&c.Delay, "delay", 0, "duration of each call")
	flag.Parse()
	s := plainservice.New(c)
	serve.Main(serve.Options{Name: "service", Listen: *listen, Handler: s, WrapListener: s.WrapListener})
}
