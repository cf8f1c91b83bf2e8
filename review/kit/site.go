// Package kit holds what the scripts of the review share: stand-ins of the
// platform's store and of consumers, the settings of a small deployment, and the
// start and end of gateways.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. They are the same on all machines.
const (
	frontendPort  = 8227
	readinessPort = 8220
	controlPort   = 8229
	directoryPort = 8224
	exchangePort  = 7340
	metricsPort   = 9464
)

// Bounds of the deployment: those of ringeklokka-drift.
const (
	Contact = 3 * time.Second
	Grace   = 8 * time.Second
	Revoke  = 5 * time.Second
)

// Site is a small deployment on loopback addresses.
type Site struct {
	Root  string // of the repository
	Dir   string // temporary folder
	Net   string // first three bytes of the addresses
	Store *Store

	mu       sync.Mutex
	gateways []*Gateway
}

// NewSite starts the store of a deployment. The repository is the working folder.
func NewSite() (*Site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cassialatch-review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Root: root, Dir: dir}
	for range 50 {
		s.Net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if s.free() {
			break
		}
	}
	if s.Store, err = StartStore(s.Net + ".250"); err != nil {
		return nil, err
	}
	return s, nil
}

// free reports whether the ports of the first machines are free.
func (s *Site) free() bool {
	for n := 1; n <= 9; n++ {
		for _, port := range []int{frontendPort, readinessPort, controlPort, directoryPort, metricsPort} {
			l, err := net.Listen("tcp4", addr(s.IP(n), port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// Zone returns the zone of machine or runner n, from 1.
func Zone(n int) string { return []string{"bergen-a", "bergen-b", "voss-c"}[(n-1)%3] }

// IP returns the address of machine n, from 1.
func (s *Site) IP(n int) string { return fmt.Sprintf("%s.%d", s.Net, n) }

// Close ends all gateways and removes the temporary folder.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.gateways {
		g.Kill()
	}
	os.RemoveAll(s.Dir)
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// settings returns the settings file of machine n, as deploy/settings.tmpl renders
// it: all fields as JSON.
func (s *Site) settings(n, machines int, bootstrap bool) []byte {
	ip := s.IP(n)
	var seeds []string
	for i := 1; i <= min(machines, 3); i++ {
		seeds = append(seeds, addr(s.IP(i), controlPort))
	}
	raw, _ := json.MarshalIndent(map[string]any{
		"nodeName": fmt.Sprintf("edge-%s-%d", Zone(n), n), "role": "gateway", "machineClass": "edge",
		"serves": []string{"edge", "registry", "control_plane"},
		"ip":     ip, "zone": Zone(n), "region": "vestland",
		"zones": map[string]string{"bergen-a": "vestland", "bergen-b": "vestland", "voss-c": "vestland"},
		"listen": map[string]string{
			"frontend": addr(ip, frontendPort), "readiness": addr(ip, readinessPort),
			"control": addr(ip, controlPort), "directory": addr(ip, directoryPort),
		},
		"portRange": []int{exchangePort, exchangePort + 15}, "seeds": seeds, "bootstrap": bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "failClosed": true,
			"revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 12,
			"deliveryLagMs": 120, "reuseWindowS": 10, "capFactor": 2, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": s.Store.Addr, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}, "", "  ")
	return raw
}

// Gateway is a process of the gateway.
type Gateway struct {
	N        int
	Frontend string

	site *Site
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// StartGateways starts the gateways of machines 1 to n and waits until they are
// ready.
func (s *Site) StartGateways(n int) ([]*Gateway, error) {
	var list []*Gateway
	for i := 1; i <= n; i++ {
		g, err := s.Start(i, n, true)
		if err != nil {
			return nil, err
		}
		list = append(list, g)
	}
	for _, g := range list {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// Start starts the gateway of machine n with the run line of the deploy file.
func (s *Site) Start(n, machines int, bootstrap bool) (*Gateway, error) {
	file := filepath.Join(s.Dir, fmt.Sprintf("node-%d.json", n))
	if err := os.WriteFile(file, s.settings(n, machines, bootstrap), 0o600); err != nil {
		return nil, err
	}
	run, err := s.runLine()
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(s.Dir, fmt.Sprintf("gateway-%d-%d.log", n, time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(s.Root, run[0]), run[1:]...)
	cmd.Dir = s.Root
	cmd.Env = []string{"CASSIALATCH_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + s.Dir, "LANG=C"}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g := &Gateway{N: n, Frontend: addr(s.IP(n), frontendPort), site: s, cmd: cmd, done: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(g.done)
	}()
	s.mu.Lock()
	s.gateways = append(s.gateways, g)
	s.mu.Unlock()
	return g, nil
}

// runLine returns the words of the run line in the deploy file.
func (s *Site) runLine() ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(s.Root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, errors.New("kit: the deploy file has no run line")
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(sig syscall.Signal) error { return g.cmd.Process.Signal(sig) }

// PID returns the process ID.
func (g *Gateway) PID() int { return g.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Kill ends the process and waits until it has ended.
func (g *Gateway) Kill() {
	select {
	case <-g.done:
		return
	default:
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.done
}

// Ready reports whether the gateway's readiness check returns 200.
func (g *Gateway) Ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + addr(g.site.IP(g.N), readinessPort) + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the gateway is ready.
func (g *Gateway) AwaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if g.Ready() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("kit: gateway %d is not ready", g.N)
}
