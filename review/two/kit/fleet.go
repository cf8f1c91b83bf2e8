package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Settings is the settings file of a gateway, as the platform fills the template.
type Settings map[string]any

// Gateway is one process of the project's gateway.
type Gateway struct {
	Name     string
	IP       string
	Frontend string
	Ready    string
	Settings Settings

	path    string // of the settings file
	log     string
	metrics int
	cmd     *exec.Cmd
	done    chan struct{}
}

// Fleet is a store, backend servers and gateways.
type Fleet struct {
	Store    *Store
	Servers  []*Server
	Gateways []*Gateway
	Dir      string // temporary
}

// ports are the ports that all gateways of a fleet use.
type ports struct{ front, ready, control, directory, metrics, exchange int }

// freePorts finds ports that are free on the address, also for UDP.
func freePorts(ip string, n int) ([]int, error) {
	var list []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for len(list) < n {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list, nil
}

const (
	smallFleet    = 3
	largeFleetNet = 40
)

// NewFleet starts a store with the configuration, the given servers, and n gateways.
// change, if not nil, may change the settings of each gateway before it starts.
func NewFleet(n int, c Config, change func(i int, s Settings)) (*Fleet, error) {
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: store, Dir: dir}
	store.PutJSON("op/config", c)
	p, err := freePorts("127.0.0.1", 6)
	if err != nil {
		return nil, err
	}
	at := ports{p[0], p[1], p[2], p[3], p[4], p[5]}
	net3 := os.Getpid()%200 + 20
	if n != smallFleet {
		net3 = largeFleetNet // the same addresses in each run
	}
	for i := range n {
		f.Gateways = append(f.Gateways, f.newGateway(i, fmt.Sprintf("127.77.%d.%d", net3, i+1), net3, at, store.Addr))
		if change != nil {
			change(i, f.Gateways[i].Settings)
		}
	}
	return f, nil
}

func (f *Fleet) newGateway(i int, ip string, net3 int, p ports, store string) *Gateway {
	addr := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	g := &Gateway{
		Name: fmt.Sprintf("edge-%d", i+1), IP: ip, Frontend: addr(p.front), Ready: addr(p.ready), metrics: p.metrics,
		path: filepath.Join(f.Dir, fmt.Sprintf("node-%d.json", i+1)),
		log:  filepath.Join(f.Dir, fmt.Sprintf("gateway-%d.log", i+1)),
	}
	var seeds []string
	for j := 1; j <= 3; j++ {
		seeds = append(seeds, fmt.Sprintf("127.77.%d.%d:%d", net3, j, p.control))
	}
	g.Settings = Settings{
		"nodeName": g.Name, "role": "gateway", "machineClass": "edge",
		"serves": []string{"edge", "registry", "control_plane"},
		"ip":     ip, "zone": "sala-tintes", "region": "junin",
		"zones": map[string]string{"sala-tintes": "junin"},
		"listen": map[string]string{
			"frontend": g.Frontend, "readiness": g.Ready, "control": addr(p.control), "directory": addr(p.directory),
		},
		"portRange": []int{p.exchange, p.exchange + 1},
		"seeds":     seeds, "bootstrap": false, "lossCounts": false,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "failClosed": true, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 12, "deliveryLagMs": 120, "reuseWindowS": 10,
			"capFactor": 2, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": store, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
	}
	return g
}

// program is the gateway, as the build of the deploy file makes it.
const program = "target/cassialatchgw"

// WriteSettings writes the settings file.
func (g *Gateway) WriteSettings() error {
	raw, err := json.Marshal(g.Settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.path, raw, 0o644)
}

// Start starts the process with the run line of the deploy file.
func (g *Gateway) Start() error {
	if err := g.WriteSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	name := program
	if p := os.Getenv("REVIEW_GATEWAY"); p != "" {
		name = p
	}
	g.cmd = exec.Command(name, "-metrics", strconv.Itoa(g.metrics))
	// A machine shows one core. Here that is set, since this one has more.
	g.cmd.Env = append(os.Environ(), "CASSIALATCH_NODE_FILE="+g.path, "GOMAXPROCS=1")
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(g.cmd, g.done)
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill() // fails if the process has ended
	<-g.done
}

// IsReady asks the readiness check.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.Ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartGateways starts all gateways and waits until they are ready.
func (f *Fleet) StartGateways() error {
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, g := range f.Gateways {
		for !g.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, g := range f.Gateways {
		g.Kill()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	f.Store.Close()
	if os.Getenv("REVIEW_KEEP") == "" {
		os.RemoveAll(f.Dir)
	}
}

// PID returns the process's ID.
func (g *Gateway) PID() int { return g.cmd.Process.Pid }

// Wait waits until the process has ended.
func (g *Gateway) Wait() { <-g.done }
