// Package testca creates a certificate authority and certificates for demos and
// tests. It is not suitable for production: the authority's key is discarded.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that Write creates.
const (
	FileCA          = "ca.pem"
	FileDaemon      = "daemon.pem"
	FileDaemonKey   = "daemon-key.pem"
	FileOperator    = "operator.pem"
	FileOperatorKey = "operator-key.pem"
)

const (
	clockSkew  = time.Hour // certificates are valid from this long before now
	filePerm   = 0o600
	folderPerm = 0o700
)

// WriteError reports a file or directory that could not be created.
type WriteError struct {
	File  string
	cause error
}

// Error implements error.
func (e *WriteError) Error() string { return fmt.Sprintf("testca: create %q: %v", e.File, e.cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.cause }

// issuer signs certificates with a common validity period.
type issuer struct {
	dir  string
	from time.Time
	to   time.Time
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Write creates an authority, one certificate for all daemons and one for an
// operator, and writes them to dir. The certificates expire lifetime after now. The
// error is a *WriteError.
func Write(dir string, now time.Time, lifetime time.Duration) error {
	if err := os.MkdirAll(dir, folderPerm); err != nil {
		return &WriteError{File: dir, cause: err}
	}
	i := &issuer{dir: dir, from: now.Add(-clockSkew), to: now.Add(lifetime)}
	if err := i.authority(); err != nil {
		return err
	}
	if err := i.leaf("daemon", FileDaemon, FileDaemonKey); err != nil {
		return err
	}
	return i.leaf("operator", FileOperator, FileOperatorKey)
}

// authority creates the CA and writes its certificate, but not its key.
func (i *issuer) authority() error {
	key, der, err := i.sign(&x509.Certificate{
		Subject:               pkix.Name{CommonName: "cassialatch test CA"},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	})
	if err != nil {
		return &WriteError{File: FileCA, cause: err}
	}
	i.key = key
	if i.cert, err = x509.ParseCertificate(der); err != nil {
		return &WriteError{File: FileCA, cause: err}
	}
	return i.write(FileCA, "CERTIFICATE", der)
}

func (i *issuer) leaf(role, certFile, keyFile string) error {
	key, der, err := i.sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: "cassialatch test " + role},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:        []*url.URL{{Scheme: "cassialatch", Host: role, Path: "/test"}},
	})
	if err != nil {
		return &WriteError{File: certFile, cause: err}
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &WriteError{File: keyFile, cause: err}
	}
	if err := i.write(certFile, "CERTIFICATE", der); err != nil {
		return err
	}
	return i.write(keyFile, "PRIVATE KEY", keyDER)
}

// sign completes the template c and signs it. The first certificate, that of the
// authority, is self-signed.
func (i *issuer) sign(c *x509.Certificate) (*ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	c.NotBefore, c.NotAfter = i.from, i.to
	parent, signer := i.cert, i.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	return key, der, err
}

func (i *issuer) write(name, kind string, der []byte) error {
	file := filepath.Join(i.dir, name)
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, data, filePerm); err != nil {
		return &WriteError{File: file, cause: err}
	}
	return nil
}
