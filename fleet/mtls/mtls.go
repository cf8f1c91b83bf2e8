// Package mtls configures mutual TLS between daemons and towards operators.
//
// Peers are named by IP address and replaced at any time, so certificates
// carry a role instead of a host name, as a URI in the subject alternative
// names: cassialatch://daemon/<name> or cassialatch://operator/<name>. Both
// sides check the chain to the fleet's CA and the other side's role.
package mtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"slices"

	"cassialatch.dev/config/setting"
)

// Role tells what a certificate allows.
type Role string

// Roles.
const (
	RoleDaemon   Role = "daemon"
	RoleOperator Role = "operator"
)

// uriScheme is the scheme of role URIs.
const uriScheme = "cassialatch"

// FileError names a file that can't be used for TLS.
type FileError struct {
	File  string
	cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("mtls: file %q: %v", e.File, e.cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// NoCertificateError tells that a file holds no certificate.
type NoCertificateError struct{}

// Error implements error.
func (NoCertificateError) Error() string { return "no PEM certificate" }

// ModeError tells that the TLS mode is none of those of package setting.
type ModeError struct{ Mode setting.TLSMode }

// Error implements error.
func (e *ModeError) Error() string { return fmt.Sprintf("mtls: unknown mode %q", e.Mode) }

// RoleError tells that the other side's certificate lacks an accepted role.
type RoleError struct {
	Accepted []Role
	Found    []Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("mtls: certificate has roles %v, want one of %v", e.Found, e.Accepted)
}

// RoleURI returns the name that a certificate carries for the role.
func RoleURI(role Role, name string) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(role), Path: "/" + name}
}

// Config reads the files and returns the configuration of the peer port, which
// accepts daemons only, and that of connections to any daemon. ForOperators
// makes the operator port's from the first. Both are nil when the mode is off.
// The files are read once: a certificate is renewed by a restart.
func Config(t setting.TLS) (server, client *tls.Config, err error) {
	switch t.Mode {
	case setting.TLSOff:
		return nil, nil, nil
	case setting.TLSMutual:
	default:
		return nil, nil, &ModeError{Mode: t.Mode}
	}
	roots, err := readRoots(t.CA)
	if err != nil {
		return nil, nil, err
	}
	cert, err := readCertificate(t)
	if err != nil {
		return nil, nil, err
	}
	return serverConfig(roots, cert), clientConfig(roots, cert), nil
}

// ForOperators returns the configuration of the operator port, which accepts
// daemons and operators. It returns nil for nil.
func ForOperators(server *tls.Config) *tls.Config {
	if server == nil {
		return nil
	}
	c := server.Clone()
	c.NextProtos = []string{"http/1.1"}
	c.VerifyConnection = acceptRoles(RoleDaemon, RoleOperator)
	return c
}

func serverConfig(roots *x509.CertPool, cert tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// A resumed session would not check the chain again.
		SessionTicketsDisabled: true,
		VerifyConnection:       acceptRoles(RoleDaemon),
	}
}

func clientConfig(roots *x509.CertPool, cert tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		// Host names are not checked, as peers have none. VerifyConnection
		// checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyServerChain(roots, s.PeerCertificates); err != nil {
				return err
			}
			return acceptRoles(RoleDaemon)(s)
		},
	}
}

// verifyServerChain does what crypto/tls does for a client, without the name.
func verifyServerChain(roots *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return NoCertificateError{}
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}

// acceptRoles returns a check that the other side has one of the roles.
func acceptRoles(accepted ...Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		found := rolesOf(s)
		for _, role := range found {
			if slices.Contains(accepted, role) {
				return nil
			}
		}
		return &RoleError{Accepted: accepted, Found: found}
	}
}

func rolesOf(s tls.ConnectionState) []Role {
	if len(s.PeerCertificates) == 0 {
		return nil
	}
	var roles []Role
	for _, u := range s.PeerCertificates[0].URIs {
		if u.Scheme == uriScheme {
			roles = append(roles, Role(u.Host))
		}
	}
	return roles
}

func readRoots(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: file, cause: NoCertificateError{}}
	}
	return roots, nil
}

func readCertificate(t setting.TLS) (tls.Certificate, error) {
	certPEM, err := os.ReadFile(t.Cert)
	if err != nil {
		return tls.Certificate{}, &FileError{File: t.Cert, cause: err}
	}
	keyPEM, err := os.ReadFile(t.Key)
	if err != nil {
		return tls.Certificate{}, &FileError{File: t.Key, cause: err}
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return tls.Certificate{}, &FileError{File: t.Cert, cause: err}
	}
	return cert, nil
}
