package setting

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cassialatch.dev/config/problem"
)

const (
	secret      = "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="
	shortSecret = "c2hvcnQtc2VjcmV0"
)

// validSettings is a valid settings file; each test case replaces a part of it.
const validSettings = `id = "vm-1"
site = "vestland"
zone = "bergen-a"
[listen]
caller = "10.0.0.1:8080"
peer = "10.0.0.1:8081"
operator = "10.0.0.1:8082"
[platform]
addresses = ["10.1.0.1:80"]
[tls]
mode = "off"
[control]
heartbeat = "500ms"
[[keys]]
id = "k1"
secret = "` + secret + `"
`

func TestParse_AppliesDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse("d.toml", []byte(validSettings))
	is.NoErr(err)
	want := newDefaultSettings()
	want.ID, want.Site, want.Zone = "vm-1", "vestland", "bergen-a"
	want.Listen = Listen{Caller: "10.0.0.1:8080", Peer: "10.0.0.1:8081", Operator: "10.0.0.1:8082"}
	want.Platform.Addresses = []string{"10.1.0.1:80"}
	want.TLS.Mode = TLSOff
	raw, err := base64.StdEncoding.DecodeString(secret)
	is.NoErr(err)
	want.Keys = []Key{{ID: "k1", Secret: raw}}
	is.Equal(s, want)
	is.Equal(s.Control, Control{
		BytesPerSecond: 19000, Heartbeat: 500 * time.Millisecond, PeerTimeout: 2 * time.Second,
		LeaseDuration: 3 * time.Second, MaxPeers: 16,
	})
}

func TestParse_ReportsFileLineAndKey(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		kind     problem.Kind
		line     int
		key      string
	}{
		{"missing id", "id = \"vm-1\"\n", "\n", problem.MissingKey, 1, "id"},
		{"missing tls mode", "mode = \"off\"", "", problem.MissingKey, 10, "tls.mode"},
		{"missing listen address", "peer = \"10.0.0.1:8081\"", "", problem.MissingKey, 4, "listen.peer"},
		{"missing platform", "addresses = [\"10.1.0.1:80\"]", "", problem.MissingKey, 8, "platform.addresses"},
		{"missing secret", "secret = \"" + secret + "\"", "", problem.MissingKey, 14, "keys[0].secret"},
		{"unknown key", "mode = \"off\"", "mode = \"off\"\nmood = 1", problem.UnknownKey, 12, "tls.mood"},
		{"unknown table", "[tls]", "[tsl]\nx = 1\n[tls]", problem.UnknownKey, 10, "tsl"},
		{"wrong type", "id = \"vm-1\"", "id = 7", problem.WrongType, 1, "id"},
		{"wrong item type", "[\"10.1.0.1:80\"]", "[\n\"10.1.0.1:80\",\n5]", problem.WrongType, 11, "platform.addresses[1]"},
		{"number instead of duration", "\"500ms\"", "500", problem.MissingUnit, 13, "control.heartbeat"},
		{"duration without unit", "\"500ms\"", "\"500\"", problem.MissingUnit, 13, "control.heartbeat"},
		{"not a duration", "\"500ms\"", "\"soon\"", problem.WrongType, 13, "control.heartbeat"},
		{"negative duration", "\"500ms\"", "\"-1s\"", problem.OutOfRange, 13, "control.heartbeat"},
		{"lease below heartbeat", "heartbeat = \"500ms\"", "lease_duration = \"100ms\"", problem.OutOfRange, 13, "control.lease_duration"},
		{"peer timeout equal to heartbeat", "heartbeat = \"500ms\"", "peer_timeout = \"500ms\"", problem.OutOfRange, 13, "control.peer_timeout"},
		{"host name instead of IP address", "\"10.0.0.1:8081\"", "\"entry:8081\"", problem.OutOfRange, 6, "listen.peer"},
		{"bad platform address", "\"10.1.0.1:80\"", "\"10.1.0.1\"", problem.OutOfRange, 9, "platform.addresses[0]"},
		{"unknown tls mode", "\"off\"", "\"maybe\"", problem.OutOfRange, 11, "tls.mode"},
		{"missing tls key file", "mode = \"off\"", "mode = \"mutual\"\nca = \"a\"\ncert = \"b\"", problem.MissingKey, 10, "tls.key"},
		{"short secret", secret, shortSecret, problem.OutOfRange, 16, "keys[0].secret"},
		{"secret not base64", secret, "!", problem.WrongType, 16, "keys[0].secret"},
		{"repeated key", "site = \"vestland\"", "site = \"vestland\"\nsite = \"junin\"", problem.Duplicate, 3, "site"},
		{"repeated table", "[tls]", "[listen]\n[tls]", problem.Duplicate, 10, "listen"},
		{"repeated key id", "[[keys]]", "[[keys]]\nid = \"k1\"\nsecret = \"" + secret + "\"\n[[keys]]", problem.Duplicate, 18, "keys[1].id"},
		{"date", "heartbeat = \"500ms\"", "max_peers = 2020-13-01", problem.WrongType, 13, "control.max_peers"},
		{"integer overflow", "heartbeat = \"500ms\"", "max_peers = 9223372036854775808", problem.OutOfRange, 13, "control.max_peers"},
		{"integer above bound", "heartbeat = \"500ms\"", "max_peers = 99999", problem.OutOfRange, 13, "control.max_peers"},
		{"syntax", "zone = \"bergen-a\"", "zone = ", problem.Syntax, 3, ""},
		{"misplaced underscore", "heartbeat = \"500ms\"", "max_peers = 1__0", problem.Syntax, 13, ""},
		{"malformed number", "heartbeat = \"500ms\"", "max_peers = 007", problem.Syntax, 13, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("d.toml", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			var errs problem.Errors
			is.True(errors.As(err, &errs))
			is.Equal(len(errs), 1)
			got := *errs[0]
			got.Expected, got.Got = "", ""
			is.Equal(got, problem.Error{File: "d.toml", Line: tt.line, Key: tt.key, Kind: tt.kind})
			is.True(!strings.Contains(err.Error(), shortSecret)) // problems must not quote secrets
		})
	}
}

func TestParse_ReportsAllProblems(t *testing.T) {
	is := is.New(t)
	_, err := Parse("d.toml", []byte("id = 1\nid = 2\nextra = true\n[control]\nheartbeat = 5\n"))
	var errs problem.Errors
	is.True(errors.As(err, &errs))
	var keys []string
	for _, e := range errs {
		keys = append(keys, e.Key+" "+string(e.Kind))
	}
	is.Equal(keys, []string{
		"id wrong type", "keys missing key", "listen.caller missing key", "listen.operator missing key",
		"listen.peer missing key", "platform.addresses missing key", "site missing key", "tls.mode missing key",
		"zone missing key", "id duplicate", "extra unknown key", "control.heartbeat missing unit",
	})
}

func TestParse_ReportsMissingKeyIDsNotDuplicates(t *testing.T) {
	is := is.New(t)
	two := strings.Replace(validSettings, "id = \"k1\"\n", "secret = \""+secret+"\"\n[[keys]]\n", 1)
	_, err := Parse("d.toml", []byte(two))
	var errs problem.Errors
	is.True(errors.As(err, &errs))
	is.Equal(len(errs), 2)
	for _, e := range errs {
		is.Equal(e.Kind, problem.MissingKey)
	}
}

func TestLoad_ReadsFileAndReportsMissingFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.toml")
	_, err := Load(path)
	var e *problem.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Kind, problem.Unreadable)
	is.NoErr(os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.ID, "vm-1")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("id = [1, {a = 2}]\n[[keys]]\n[keys.x]\n"))
	f.Add([]byte("a.b.c = 1\n[a]\nb = nan\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("d.toml", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("got settings %v and error %v", s, err)
		}
		var errs problem.Errors
		if err != nil && !errors.As(err, &errs) {
			t.Fatalf("error is not a problem.Errors: %v", err)
		}
	})
}

func TestParse_AcceptsDocumentedExample(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operators/settings.md")
	is.NoErr(err)
	_, example, found := strings.Cut(string(page), "```toml\n")
	is.True(found)
	example, _, _ = strings.Cut(example, "```")
	_, err = Parse("settings.md", []byte(example))
	is.NoErr(err)
}
