package peers

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// listenUDP opens a UDP socket at a loopback address.
func listenUDP(t *testing.T, ip string) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against an outdated configuration that peers take for a fresh one: the daemon
// freezes after it has determined the age of its confirmation, and wakes to handle a
// datagram of the recipient before its own message is sent.
func TestSend_FreezeDoesNotMakeConfirmationFresher(t *testing.T) {
	is := is.New(t)
	const peer = "127.0.0.2"
	confirmed := boottime.Instant(10 * time.Second)
	clock := &fakeClock{now: confirmed}
	e, _ := newExchange(clock)
	e.table = NewTable(Self{IP: "127.0.0.1", Seeds: []string{peer}}, clock.read, e.catalog)
	e.conn = listenUDP(t, "127.0.0.1")
	received := listenUDP(t, peer)
	e.port = received.LocalAddr().(*net.UDPAddr).Port

	hear := func() { e.table.recordMessage(peer, header{incarnation: 1, sentAt: clock.now}, &Message{}) }
	hear()
	frozen := false
	e.catalog = catalog.New(func() boottime.Instant {
		now := clock.now
		if !frozen {
			frozen = true
			clock.now = now.Add(5 * time.Second)
			hear()
		}
		return now
	})
	e.catalog.Adopt(catalog.State{Revision: 5}, route.NewTable(&route.Config{Version: 1}), confirmed)
	clock.now = confirmed.Add(100 * time.Millisecond)
	e.send()
	is.True(frozen)

	buf := make([]byte, 64<<10)
	is.NoErr(received.SetReadDeadline(time.Now().Add(hangTimeout)))
	n, err := received.Read(buf)
	is.NoErr(err)
	h, ok := parseHeader(buf[:n])
	is.True(ok)
	var m Message
	is.NoErr(cbor.Unmarshal(buf[headerBytes:n], &m))
	is.True(m.AgeMS >= 0)
	is.True(h.echo.Add(-time.Duration(m.AgeMS)*time.Millisecond) <= confirmed) // what the peer dates the confirmation by
}
