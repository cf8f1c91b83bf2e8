package clients

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cassialatch.dev/standin/metastore"
	"cassialatch.dev/standin/runner"
)

// Ports of the gateway; exchangePort is the first of a range.
const (
	frontPort = 21327 + iota
	readyPort
	controlPort
	directoryPort
	exchangePort
)

// Limits in the settings of the gateway. The tests use them as bounds.
const (
	memoryMB       = 96
	maxDescriptors = 400
)

const (
	host         = "clients.example"
	maxBodyBytes = 4 << 20
	// largeBytes is the size of a response of the service large. It is more than the
	// gateway buffers and more than the socket buffers hold.
	largeBytes = 8 << 20
	// routeTimeout lets incomplete bodies stay for longer than a test takes.
	routeTimeout = 60 * time.Second
	// largeTimeout ends requests whose responses are not read. A request that was passed on
	// to a server may keep its connection until its deadline.
	largeTimeout = 5 * time.Second
)

// gateway is one gateway process with stand-ins of the store and of two servers.
type gateway struct {
	ip     string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
	ledger *runner.Ledger
}

// startGateway starts a gateway and waits until it is ready. It is killed at the end of the
// test. The slot selects its address and differs between the tests of this process.
func startGateway(t *testing.T, slot int) *gateway {
	pid := os.Getpid()
	g := &gateway{ip: fmt.Sprintf("127.%d.%d.%d", 110+pid%100, pid/100%250, 10+slot),
		exited: make(chan struct{}), ledger: runner.NewLedger()}
	store := metastore.New()
	g.register(t, store, "plain", 0)
	g.register(t, store, "large", largeBytes)
	store.Put("op/config", configuration())
	front := httptest.NewServer(store)
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
	})
	g.run(t, strings.TrimPrefix(front.URL, "http://"))
	g.awaitReady(t)
	return g
}

// register starts a server, which adds extra bytes to each response, and writes its entry.
func (g *gateway) register(t *testing.T, store *metastore.Store, service string, extra int) {
	run := &runner.Runner{ID: "i-" + service, Ledger: g.ledger}
	filler := make([]byte, extra)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run.ServeHTTP(w, r)
		if r.URL.Path != "/kv-list" {
			// A write error means that the gateway has closed the connection.
			_, _ = w.Write(filler)
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	store.Put("servers/"+run.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","slots":2000,"state":"ready","born":1,"sequence":1}`,
		service, strings.TrimPrefix(server.URL, "http://")))
}

func configuration() []byte {
	route := func(service string, timeout time.Duration) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%s/","type":"unsafe","timeoutMs":%d,"service":%q,"maxAttempts":1}`,
			service, host, service, timeout.Milliseconds(), service)
	}
	return fmt.Appendf(nil, `{"version":1,"routes":[%s,%s],"services":[{"name":"plain","maxConns":2000},{"name":"large","maxConns":2000}],
		"limits":{"maxBodyBytes":%d,"maxHeaderBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
		"tenants":[{"name":"w","apiKeys":["key-0"]}]}`, route("plain", routeTimeout), route("large", largeTimeout), maxBodyBytes)
}

// run writes the settings and starts the process.
func (g *gateway) run(t *testing.T, store string) {
	raw, err := json.Marshal(map[string]any{
		"nodeName": "edge-0", "ip": g.ip, "zone": "a",
		"listen": map[string]string{"frontend": g.address(frontPort), "readiness": g.address(readyPort),
			"control": g.address(controlPort), "directory": g.address(directoryPort)},
		"portRange": []int{exchangePort, exchangePort + 15},
		"seeds":     []string{g.address(controlPort)},
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": maxDescriptors},
		"bounds": map[string]any{"graceS": 4, "failClosed": true, "revokeMs": 5000,
			"configApplyMs": 2000, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58},
		"platform": map[string]string{"address": store},
	})
	if err != nil {
		t.Fatal(err)
	}
	settings := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	g.cmd = exec.Command(binary)
	g.cmd.Env = append(os.Environ(), "CASSIALATCH_NODE_FILE="+settings)
	g.cmd.Stderr = os.Stderr // a panic of the process
	if err := g.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = g.cmd.Wait() // the process is killed at the end of the test
		close(g.exited)
	}()
	t.Cleanup(func() {
		_ = g.cmd.Process.Kill() // the process may have ended
		<-g.exited
	})
}

func (g *gateway) address(port int) string { return net.JoinHostPort(g.ip, fmt.Sprint(port)) }

func (g *gateway) awaitReady(t *testing.T) {
	const timeout = 20 * time.Second
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.address(readyPort) + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the gateway did not become ready")
}

// alive reports whether the process that was started is still running.
func (g *gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (g *gateway) peakMemory(t *testing.T) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var kilobytes int64
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	t.Fatal("no VmHWM in the status of the process")
	return 0
}

// descriptors returns the number of open descriptors of the process; 0 if it has ended.
func (g *gateway) descriptors() int {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names)
}

// call sends a request with a valid key on a connection of its own. It returns the status of
// the response, or 0 if there was none or it was not complete.
func (g *gateway) call(id string, header http.Header, bodyBytes int) int {
	const timeout = 10 * time.Second
	body := strings.NewReader(strings.Repeat("x", bodyBytes))
	req, err := http.NewRequest(http.MethodPost, "http://"+g.address(frontPort)+"/plain/x", body)
	if err != nil {
		return 0
	}
	req.Header = header
	req.Host = host
	req.Header.Set("Authorization", "Bearer key-0")
	req.Header.Set("Cassialatch-Attempt-Id", id)
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if read, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == http.StatusOK && string(read) != runner.Body(id) {
		return 0
	}
	return resp.StatusCode
}
