package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fault is what a proxy does to its connections.
type fault int32

const (
	pass    fault = iota
	delay         // bytes wait for delayTime
	silent        // bytes of both directions are held
	oneWay        // bytes of answers are held
	refused       // connections are reset
)

const delayTime = 120 * time.Millisecond

// proxy passes TCP connections on to a target and misbehaves on demand.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

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

func (p *proxy) set(f fault) {
	p.mode.Store(int32(f))
	if f == refused {
		p.reset()
	}
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without the option the connection is closed in the ordinary way.
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
	if fault(p.mode.Load()) == refused {
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
	go p.copy(up, c, silent, delay)
	p.copy(c, up, silent, oneWay, delay)
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

// copy passes bytes on, and holds them while the mode is one of those given.
func (p *proxy) copy(dst, src net.Conn, holds ...fault) {
	defer dst.Close()
	buf := make([]byte, 8<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.hold(holds)
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

func (p *proxy) hold(holds []fault) {
	const step = 5 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		mode := fault(p.mode.Load())
		held := false
		for _, h := range holds {
			held = held || mode == h
		}
		if !held || mode == delay && waited >= delayTime {
			return
		}
		time.Sleep(step)
	}
}
