// Package mtls configures mutual TLS between daemons, and between daemons and
// operators.
//
// Daemons are addressed by IP address and may be replaced at any time, so a
// certificate contains a role instead of a host name. The role is a URI in the
// subject alternative names: cassialatch://daemon/<name> or
// cassialatch://operator/<name>. Both sides verify the chain to the fleet's CA
// and the role of the other side.
//
// All functions are safe for concurrent use.
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

// Role is the role of a certificate's owner. It decides which ports accept the
// certificate.
type Role string

// Roles of certificates.
const (
	RoleDaemon   Role = "daemon"
	RoleOperator Role = "operator"
)

// uriScheme is the scheme of role URIs.
const uriScheme = "cassialatch"

// FileError reports a file that cannot be used for TLS.
type FileError struct {
	File  string
	cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("mtls: file %q: %v", e.File, e.cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// NoCertificateError reports that a file contains no certificate, or that the
// other side sent none.
type NoCertificateError struct{}

// Error implements error.
func (NoCertificateError) Error() string { return "no PEM certificate" }

// ModeError reports a TLS mode that package setting does not define.
type ModeError struct{ Mode setting.TLSMode }

// Error implements error.
func (e *ModeError) Error() string { return fmt.Sprintf("mtls: unknown TLS mode %q", e.Mode) }

// RoleError reports that the other side's certificate has no accepted role.
type RoleError struct {
	Accepted []Role
	Found    []Role
}

// Error implements error.
func (e *RoleError) Error() string {
	return fmt.Sprintf("mtls: certificate has roles %v, want one of %v", e.Found, e.Accepted)
}

// RoleURI returns the URI that a certificate for the role contains as a subject
// alternative name.
func RoleURI(role Role, name string) *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(role), Path: "/" + name}
}

// Config reads the certificate files and returns two configurations: server for
// the peer port, which accepts only daemons, and client for connections to
// daemons. ForOperators derives the configuration of the operator port from
// server. Both are nil if the mode is setting.TLSOff. The files are read only
// here, so a renewed certificate takes effect after a restart.
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
// daemons and operators, based on that of the peer port. It returns nil if server
// is nil.
func ForOperators(server *tls.Config) *tls.Config {
	if server == nil {
		return nil
	}
	c := server.Clone()
	c.NextProtos = []string{"http/1.1"}
	c.VerifyConnection = requireRole(RoleDaemon, RoleOperator)
	return c
}

func serverConfig(roots *x509.CertPool, cert tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// crypto/tls does not verify the chain again for a resumed session.
		SessionTicketsDisabled: true,
		VerifyConnection:       requireRole(RoleDaemon),
	}
}

func clientConfig(roots *x509.CertPool, cert tls.Certificate) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		// Daemons have no host names to verify, and this is the only way to
		// turn that check off. VerifyConnection verifies the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if err := verifyServerChain(roots, s.PeerCertificates); err != nil {
				return err
			}
			return requireRole(RoleDaemon)(s)
		},
	}
}

// verifyServerChain verifies the chain as crypto/tls does for a client, but
// without the host name.
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

// requireRole returns a VerifyConnection function that requires one of the
// accepted roles in the other side's certificate.
func requireRole(accepted ...Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		found := certificateRoles(s)
		for _, role := range found {
			if slices.Contains(accepted, role) {
				return nil
			}
		}
		return &RoleError{Accepted: accepted, Found: found}
	}
}

// certificateRoles returns the roles in the other side's certificate.
func certificateRoles(s tls.ConnectionState) []Role {
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
