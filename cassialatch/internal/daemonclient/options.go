package daemonclient

import (
	"crypto/tls"
	"flag"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"cassialatch.dev/cassialatch/internal/command"
	"cassialatch.dev/config/problem"
	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/mtls"
	"cassialatch.dev/wire/httpvalid"
)

// Options holds the address of a daemon and the TLS settings of the connection.
type Options struct {
	Address string // operator address of the daemon, host:port
	TLSOff  bool   // connect without TLS
	CA      string // files for mutual TLS, see Bind
	Cert    string
	Key     string
}

// Bind adds the options to the flags of a subcommand.
func (o *Options) Bind(flags *flag.FlagSet) {
	flags.StringVar(&o.Address, "daemon", "", "operator `address` of the daemon, host:port")
	flags.StringVar(&o.CA, "tls-ca", "", "`file` with the CA's certificate")
	flags.StringVar(&o.Cert, "tls-cert", "", "`file` with the operator's certificate")
	flags.StringVar(&o.Key, "tls-key", "", "`file` with the operator's private key")
	flags.BoolVar(&o.TLSOff, "tls-off", false, "connect without TLS")
}

// New returns a client for the options. The error is a command.UsageError for
// invalid options and a problem.Errors for unreadable files.
func New(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}
	client := &Client{address: o.Address, scheme: "http", http: &http.Client{Transport: httpvalid.Transport{Transport: transport}, CheckRedirect: noRedirect}}
	if o.TLSOff {
		return client, nil
	}
	config, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport.TLSClientConfig = config
	client.scheme = "https"
	return client, nil
}

// noRedirect disables redirects, so that calls reach only the daemon at the given
// address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// check returns a command.UsageError for options that are missing or contradict
// each other.
func (o Options) check() error {
	host, port, err := net.SplitHostPort(o.Address)
	if err != nil || host == "" || port == "" {
		return command.NewUsageError("-daemon must be host:port, got %q", o.Address)
	}
	files := 0
	for _, name := range []string{o.CA, o.Cert, o.Key} {
		if name != "" {
			files++
		}
	}
	if o.TLSOff && files > 0 {
		return command.NewUsageError("-tls-off excludes -tls-ca, -tls-cert and -tls-key")
	}
	if !o.TLSOff && files < 3 {
		return command.NewUsageError("give -tls-ca, -tls-cert and -tls-key, or -tls-off")
	}
	return nil
}

// tlsConfig returns the client configuration for mutual TLS. Daemons are
// identified by the role in their certificates, since they have no permanent
// names.
func (o Options) tlsConfig() (*tls.Config, error) {
	_, client, err := mtls.Config(setting.TLS{
		Mode: setting.TLSMutual, CA: o.CA, Cert: o.Cert, Key: o.Key,
	})
	var bad *mtls.FileError
	if errors.As(err, &bad) {
		return nil, errors.WithStack(problem.Errors{problem.NewUnreadable(bad.File, bad.Unwrap())})
	}
	return client, err
}
