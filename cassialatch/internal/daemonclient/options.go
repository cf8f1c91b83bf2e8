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
)

// Options tell how to reach a daemon.
type Options struct {
	Address string // the daemon's operator address, host:port
	TLSOff  bool
	CA      string // files of mutual TLS
	Cert    string
	Key     string
}

// Bind adds the options to a verb's flags.
func (o *Options) Bind(flags *flag.FlagSet) {
	flags.StringVar(&o.Address, "daemon", "", "operator `address` of any one daemon, host:port")
	flags.StringVar(&o.CA, "tls-ca", "", "`file` with the CA's certificate")
	flags.StringVar(&o.Cert, "tls-cert", "", "`file` with the operator's certificate")
	flags.StringVar(&o.Key, "tls-key", "", "`file` with the operator's private key")
	flags.BoolVar(&o.TLSOff, "tls-off", false, "connect without TLS")
}

// New returns a client for the options. Wrong ones are a command.Usage,
// unreadable files problem.Errors.
func New(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	client := &Client{address: o.Address, scheme: "http", http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
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

// noRedirect keeps calls on the daemon that was named.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

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

// tlsConfig returns the configuration of mutual TLS. Daemons are known by the
// role in their certificates, as they have no lasting names.
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
