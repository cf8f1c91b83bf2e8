package cli

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/fleet/mtls"
	"cassialatch.dev/wire/operatorapi"
)

// fakeStatus is the status that fakeDaemon serves. The reason contains an escape
// sequence that clears a terminal.
var fakeStatus = operatorapi.Status{
	ID: "vm-1", Zone: "bergen-a", Site: "vestland", Ready: true, InFlight: 3,
	Platform:    operatorapi.Platform{Reachable: true, LastReadMs: -1},
	Documents:   []operatorapi.Document{{Name: "base", InForceVersion: 7, RejectedVersion: 8, Reason: "bad\x1b[2J"}},
	Daemons:     []operatorapi.Daemon{{ID: "vm-2", Zone: "voss-c", LastSeenMs: 1500, Alive: true}},
	Backends:    []operatorapi.Backend{{ID: "b-1", Service: "klang-model", Home: "vm-1", InFlight: 2, Limit: 5, Weight: 1}},
	Quarantined: []operatorapi.Quarantine{{Fingerprint: "ab12", Crashes: 2, ExpiresMs: 60000}},
	Control:     []operatorapi.Traffic{{Kind: "peer", SentBytes: 10, ReadBytes: 20, BytesPerSecond: 30}},
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// fakeDaemon returns a handler that serves fixed responses of the operator
// protocol.
func fakeDaemon() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, fakeStatus)
	})
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, operatorapi.ConfigInForce{TOML: "[models]\n"})
	})
	mux.HandleFunc("GET /v1/explain", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeJSON(w, http.StatusOK, operatorapi.Explanation{
			Workspace: q.Get("workspace"), Model: q.Get("model"), Class: "chat", WarmBackend: q.Get("chat"),
			Candidates: []operatorapi.Candidate{{Backend: "b-1", Home: "vm-1", InFlight: 2, Limit: 5, Reason: "warm"}},
		})
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusAccepted, operatorapi.DrainResponse{InFlight: 4})
	})
	return mux
}

// startServer serves h until the test ends and returns the server's address.
func startServer(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestDaemonCommands(t *testing.T) {
	address := startServer(t, fakeDaemon())
	tests := []struct {
		args string
		want []string // rows, with each gap reduced to one space
	}{
		{"status", []string{
			"daemon vm-1", "platform reachable, last read never", `base 7 8 bad\x1b[2J`, "vm-2 voss-c - alive 1.5s ago",
			"b-1 klang-model - vm-1 2 0 5 1.00 no 0s ago", "ab12 2 1m0s", "peer 10 20 30 0",
		}},
		{"config show", []string{"[models]"}},
		{"route explain -workspace skole -model klang-model -chat tok&en", []string{
			"workspace skole", "model klang-model", "warm tok&en", "b-1 vm-1 2 5 warm",
		}},
		{"drain", []string{"draining: 4 requests in flight"}},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			is := is.New(t)
			args := append(strings.Fields(tt.args), "-daemon", address, "-tls-off")
			r := run(t.Context(), args...)
			is.Equal(r.code, command.ExitOK)
			is.Equal(r.errOut, "")
			rows := make(map[string]bool)
			for line := range strings.Lines(r.out) {
				rows[strings.Join(strings.Fields(line), " ")] = true
			}
			for _, row := range tt.want {
				if !rows[row] {
					t.Errorf("no row %q in\n%s", row, r.out)
				}
			}
			is.True(json.Valid([]byte(run(t.Context(), append(args, "--json")...).out)))
		})
	}
}

func TestFailedCall_ExitCode(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		code    command.ExitCode
		text    string
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusConflict, operatorapi.Error{Code: "draining", Message: "already"})
		}, command.ExitFailed, "draining: already (HTTP status 409)"},
		{"refused without a body", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, command.ExitFailed, "Bad Gateway"},
		{"redirected", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, command.ExitFailed, "HTTP status 307"},
		{"response is not JSON", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("hello"))
		}, command.ExitFailed, "cannot be read"},
		{"closed before the response", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, command.ExitUnreachable, "unreachable"},
		{"closed within the response", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"in_`))
		}, command.ExitFailed, "may have taken effect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, tt.handler)
			r := run(t.Context(), "drain", "-daemon", address, "-tls-off")
			is.Equal(r.code, tt.code)
			is.True(strings.Contains(r.errOut, tt.text))
			r = run(t.Context(), "drain", "-daemon", address, "-tls-off", "--json")
			var failure command.Failure
			is.NoErr(json.Unmarshal([]byte(r.out), &failure))
			is.Equal([]any{r.code, failure.ExitCode}, []any{tt.code, tt.code})
		})
	}
}

func TestUnreachableDaemon_ExitCode(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	for _, name := range []string{"status", "watch", "drain"} {
		is.Equal(run(t.Context(), name, "-daemon", address, "-tls-off").code, command.ExitUnreachable)
	}
}

func TestWatch_ContinuesAfterFailureAndExitsWithSuccess(t *testing.T) {
	is := is.New(t)
	ctx, interrupt := context.WithCancel(t.Context())
	defer interrupt()
	var calls atomic.Int32
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) {
		case 2:
			writeJSON(w, http.StatusServiceUnavailable, operatorapi.Error{Code: "not_ready", Message: "later"})
		case 4:
			interrupt()
		default:
			writeJSON(w, http.StatusOK, fakeStatus)
		}
	}))
	r := run(ctx, "watch", "-daemon", address, "-tls-off", "-interval", "1ms", "--json")
	is.Equal(r.code, command.ExitOK)
	is.Equal(strings.Count(r.out, "\n"), 2)
	is.True(strings.Contains(r.errOut, "not_ready"))
}

// writeCertificate writes a self-signed certificate, which can be used by both
// sides of a local connection, and its key and returns the names of the files.
func writeCertificate(t *testing.T) (cert, key string) {
	t.Helper()
	is := is.New(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, URIs: []*url.URL{mtls.RoleURI(mtls.RoleDaemon, "test")},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	is.NoErr(err)
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return cert, key
}

func TestMutualTLS_AuthenticatesBothSides(t *testing.T) {
	is := is.New(t)
	cert, key := writeCertificate(t)
	strangerCert, strangerKey := writeCertificate(t)
	pair, err := tls.LoadX509KeyPair(cert, key)
	is.NoErr(err)
	text, err := os.ReadFile(cert)
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(text))
	server := httptest.NewUnstartedServer(fakeDaemon())
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // failed handshakes are expected
	server.TLS = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert}
	server.StartTLS()
	defer server.Close()
	address := server.Listener.Addr().String()
	tests := []struct {
		ca, cert, key string
		code          command.ExitCode
	}{
		{cert, cert, key, command.ExitOK},
		{cert, strangerCert, strangerKey, command.ExitUnreachable},
		{strangerCert, cert, key, command.ExitUnreachable},
		{key, cert, key, command.ExitBadInput},          // no certificate in the CA file
		{cert, cert, strangerKey, command.ExitBadInput}, // key of another certificate
	}
	for _, tt := range tests {
		r := run(t.Context(), "status", "-daemon", address, "-tls-ca", tt.ca, "-tls-cert", tt.cert, "-tls-key", tt.key)
		is.Equal(r.code, tt.code)
	}
	is.Equal(run(t.Context(), "status", "-daemon", address, "-tls-off").code, command.ExitFailed)
}
