package setting

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

// Load reads and parses the settings file at path. Its error wraps a
// problem.Errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(problem.Errors{problem.NewUnreadable(path, err)})
	}
	return Parse(path, text)
}

// Parse parses settings from TOML text; name is the file name used in problems.
// Its error is a problem.Errors with all problems found.
func Parse(name string, text []byte) (*Settings, error) {
	doc := document.Parse(name, text)
	s := newDefaultSettings()
	if !doc.HasSyntaxError() {
		readSettings(doc.Root(), s)
	}
	if err := doc.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSettings(root *document.Table, s *Settings) {
	root.Require("id", "site", "zone")
	root.NameOf("id", &s.ID)
	root.NameOf("site", &s.Site)
	root.NameOf("zone", &s.Zone)
	readListen(root.Table("listen"), &s.Listen)
	readPlatform(root.Table("platform"), &s.Platform)
	readTLS(root.Table("tls"), &s.TLS)
	readKeys(root, s)
	readControl(root.Table("control"), &s.Control)
	readLimits(root.Table("limits"), &s.Limits)
	root.Table("log").OneOf("level", &s.Log.Level, "debug", "info", "warn", "error")
}

func readListen(t *document.Table, l *Listen) {
	t.Require("caller", "peer", "operator")
	readAddrPort(t, "caller", &l.Caller)
	readAddrPort(t, "peer", &l.Peer)
	readAddrPort(t, "operator", &l.Operator)
}

func readAddrPort(t *document.Table, key string, into *string) {
	if !t.String(key, into) {
		return
	}
	if _, err := netip.ParseAddrPort(*into); err != nil {
		t.Report(key, problem.OutOfRange, "an IP address and port", strconv.Quote(*into))
	}
}

func readPlatform(t *document.Table, p *Platform) {
	t.Require("addresses")
	if t.Strings("addresses", &p.Addresses) {
		checkPlatformAddresses(t, p.Addresses)
	}
	t.Duration("watch_wait", &p.WatchWait, minDuration, maxDuration)
	t.Duration("timeout", &p.Timeout, minDuration, maxDuration)
}

func checkPlatformAddresses(t *document.Table, addresses []string) {
	if len(addresses) == 0 {
		t.Report("addresses", problem.OutOfRange, "at least one address", "none")
	}
	checkHostPorts(t, "addresses", addresses)
}

// checkHostPorts adds a problem for each item of a list that is not host:port.
func checkHostPorts(t *document.Table, key string, addresses []string) {
	for i, address := range addresses {
		if !isHostPort(address) {
			t.ReportItem(key, i, problem.OutOfRange, "host:port", strconv.Quote(address))
		}
	}
}

func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func readTLS(t *document.Table, s *TLS) {
	t.Require("mode")
	var mode string
	t.OneOf("mode", &mode, string(TLSMutual), string(TLSOff))
	s.Mode = TLSMode(mode)
	if s.Mode == TLSMutual {
		t.Require("ca", "cert", "key")
	}
	t.String("ca", &s.CA)
	t.String("cert", &s.Cert)
	t.String("key", &s.Key)
}

func readKeys(root *document.Table, s *Settings) {
	root.Require("keys")
	tables := root.TableArray("keys")
	if root.Has("keys") && len(tables) == 0 {
		root.Report("keys", problem.OutOfRange, "at least one key", "none")
	}
	seen := make(map[string]bool)
	for _, t := range tables {
		key := readKey(t)
		if key.ID != "" && seen[key.ID] {
			t.Report("id", problem.Duplicate, "a key id of its own", strconv.Quote(key.ID))
		}
		seen[key.ID] = true
		s.Keys = append(s.Keys, key)
	}
}

func readKey(t *document.Table) Key {
	t.Require("id", "secret")
	var key Key
	t.NameOf("id", &key.ID)
	var text string
	if !t.Secret("secret", &text) {
		return key
	}
	secret, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		t.Report("secret", problem.WrongType, "base64", "other text")
		return key
	}
	if len(secret) < MinSecretBytes {
		t.Report("secret", problem.OutOfRange, fmt.Sprintf("at least %d bytes", MinSecretBytes), fmt.Sprintf("%d bytes", len(secret)))
	}
	key.Secret = secret
	return key
}

func readControl(t *document.Table, c *Control) {
	t.Int("bytes_per_second", &c.BytesPerSecond, minBytesPerSecond, maxBytesPerSecond)
	t.Duration("heartbeat", &c.Heartbeat, minDuration, maxDuration)
	t.Duration("peer_timeout", &c.PeerTimeout, minDuration, maxDuration)
	t.Duration("lease_duration", &c.LeaseDuration, minDuration, maxDuration)
	t.Int("max_peers", &c.MaxPeers, 1, maxPeers)
	if t.Strings("seeds", &c.Seeds) {
		checkHostPorts(t, "seeds", c.Seeds)
	}
	if c.PeerTimeout <= c.Heartbeat {
		t.Report("peer_timeout", problem.OutOfRange, "more than heartbeat, "+c.Heartbeat.String(), c.PeerTimeout.String())
	}
	if c.LeaseDuration <= c.Heartbeat {
		t.Report("lease_duration", problem.OutOfRange, "more than heartbeat, "+c.Heartbeat.String(), c.LeaseDuration.String())
	}
}

func readLimits(t *document.Table, l *Limits) {
	body := int(l.MaxBodyBytes)
	t.Int("max_body_bytes", &body, minBodyBytes, maxBodyBytes)
	l.MaxBodyBytes = int64(body)
	t.Int("max_header_bytes", &l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	t.Duration("header_timeout", &l.HeaderTimeout, minDuration, maxDuration)
	t.Duration("body_timeout", &l.BodyTimeout, minDuration, maxDuration)
	t.Duration("drain_timeout", &l.DrainTimeout, minDuration, maxDuration)
	t.Duration("entry_ttl", &l.EntryTTL, minDuration, maxDuration)
	t.Duration("ticket_ttl", &l.TicketTTL, minDuration, maxDuration)
	t.Int("metric_series", &l.MetricSeries, 1, maxMetricSeries)
}
