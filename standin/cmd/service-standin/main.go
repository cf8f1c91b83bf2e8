// Command service-standin serves a plain service with a ledger of its runs.
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
	flag.StringVar(&c.Instance, "instance", c.Instance, "process instance")
	flag.BoolVar(&c.CheckKey, "check-key", false, "answer a second call with the same Idempotency-Key without running it")
	flag.BoolVar(&c.CheckFence, "check-fence", false, "refuse calls with an old fencing number")
	flag.DurationVar(&c.Delay, "delay", 0, "time that each call takes")
	flag.Parse()
	s := plainservice.New(c)
	serve.Main(serve.Options{Name: "service", Listen: *listen, Handler: s, WrapListener: s.WrapListener})
}
