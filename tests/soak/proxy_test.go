package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fault is the mode in which a proxy treats its connections.
type fault int32

const (
	forward        fault = iota
	delay                // bytes of both directions are delayed by delayDuration
	stall                // bytes of both directions are held
	stallResponses       // bytes of responses are held
	resetConns           // connections are reset
)

// delayDuration is the delay of each forwarded chunk in delay mode.
const delayDuration = 120 * time.Millisecond

// proxy forwards TCP connections to a target and injects a fault on request. It is
// safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newProxy starts a proxy that is closed at the end of the test.
func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets the fault mode. resetConns also resets the open connections.
func (p *proxy) set(f fault) {
	p.mode.Store(int32(f))
	if f == resetConns {
		p.reset()
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// If the option can't be set, the connection is closed with FIN instead of
			// RST.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	p.track(c, true)
	defer p.track(c, false)
	if fault(p.mode.Load()) == resetConns {
		p.reset()
		return
	}
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.track(up, true)
	defer p.track(up, false)
	go p.copy(up, c, stall, delay)
	p.copy(c, up, stall, stallResponses, delay)
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// copy forwards bytes from src to dst and holds them while the mode is one of
// heldModes.
func (p *proxy) copy(dst, src net.Conn, heldModes ...fault) {
	defer dst.Close()
	buf := make([]byte, 8<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.waitWhileHeld(heldModes)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				dst.Close()
			}
			return
		}
	}
}

// waitWhileHeld returns when the mode is none of heldModes, or after delayDuration
// if it is delay.
func (p *proxy) waitWhileHeld(heldModes []fault) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		mode := fault(p.mode.Load())
		held := false
		for _, h := range heldModes {
			held = held || mode == h
		}
		if !held || mode == delay && waited >= delayDuration {
			return
		}
		time.Sleep(step)
	}
}
