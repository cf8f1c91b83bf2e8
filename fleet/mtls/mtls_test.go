package mtls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/mtls"
)

// testCA is a certificate authority for one test. It writes the files of its
// certificates to dir.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign("ca", &x509.Certificate{
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		NotAfter:              time.Now().Add(time.Hour),
	})
	return a
}

// sign signs c with a new key and writes the files <name>.pem and
// <name>-key.pem. The first certificate is self-signed.
func (a *testCA) sign(name string, c *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	c.SerialNumber = big.NewInt(time.Now().UnixNano())
	c.NotBefore = time.Now().Add(-24 * time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	for file, block := range map[string]*pem.Block{
		name + ".pem":     {Type: "CERTIFICATE", Bytes: der},
		name + "-key.pem": {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		is.NoErr(os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(block), 0o600))
	}
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return parsed, key
}

// issue issues a certificate for the role and returns the settings with its
// files.
func (a *testCA) issue(role mtls.Role, notAfter time.Time) setting.TLS {
	a.sign(string(role), &x509.Certificate{
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		URIs:        []*url.URL{mtls.RoleURI(role, "vm-1")},
		NotAfter:    notAfter,
	})
	path := filepath.Join(a.dir, string(role))
	return setting.TLS{Mode: setting.TLSMutual, CA: filepath.Join(a.dir, "ca.pem"), Cert: path + ".pem", Key: path + "-key.pem"}
}

func (a *testCA) config(role mtls.Role, notAfter time.Time) (server, client *tls.Config) {
	server, client, err := mtls.Config(a.issue(role, notAfter))
	is.New(a.t).NoErr(err)
	return server, client
}

// handshakeTimeout aborts a handshake that hangs. No passing test waits for it.
const handshakeTimeout = 20 * time.Second

// handshake performs a TLS handshake over TCP and returns the error of each side.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer clientConn.Close()
	serverConn, err := listener.Accept()
	is.NoErr(err)
	deadline := time.Now().Add(handshakeTimeout)
	is.NoErr(clientConn.SetDeadline(deadline))
	is.NoErr(serverConn.SetDeadline(deadline))

	done := make(chan error, 1)
	go func() {
		defer serverConn.Close()
		done <- tls.Server(serverConn, server).HandshakeContext(t.Context())
	}()
	clientErr = tls.Client(clientConn, client).HandshakeContext(t.Context())
	if clientErr != nil {
		clientConn.Close()
	}
	return <-done, clientErr
}

func inOneHour() time.Time { return time.Now().Add(time.Hour) }

func TestPeerPortAcceptsOnlyDaemons(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	peerPort, daemon := ca.config(mtls.RoleDaemon, inOneHour())
	_, operator := ca.config(mtls.RoleOperator, inOneHour())
	operatorPort := mtls.ForOperators(peerPort)

	err, _ := handshake(t, peerPort, daemon)
	is.NoErr(err)
	err, _ = handshake(t, operatorPort, daemon)
	is.NoErr(err)
	err, _ = handshake(t, operatorPort, operator)
	is.NoErr(err)

	err, _ = handshake(t, peerPort, operator)
	var role *mtls.RoleError
	is.True(errors.As(err, &role))
	is.Equal(role.Found, []mtls.Role{mtls.RoleOperator})
}

func TestClientAcceptsOnlyDaemons(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	operatorServer, _ := ca.config(mtls.RoleOperator, inOneHour())
	_, daemon := ca.config(mtls.RoleDaemon, inOneHour())
	_, err := handshake(t, operatorServer, daemon)
	var role *mtls.RoleError
	is.True(errors.As(err, &role))
}

func TestBothSidesRejectForeignCA(t *testing.T) {
	is := is.New(t)
	server, client := newTestCA(t).config(mtls.RoleDaemon, inOneHour())
	foreignServer, foreignClient := newTestCA(t).config(mtls.RoleDaemon, inOneHour())
	var unknown x509.UnknownAuthorityError
	_, err := handshake(t, foreignServer, client)
	is.True(errors.As(err, &unknown))
	foreignClient.InsecureSkipVerify = true
	foreignClient.VerifyConnection = nil
	err, _ = handshake(t, server, foreignClient)
	is.True(errors.As(err, &unknown))
}

func TestBothSidesRejectExpiredCertificate(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	expiredServer, expiredClient := ca.config(mtls.RoleDaemon, time.Now().Add(-time.Hour))
	server, client := ca.config(mtls.RoleDaemon, inOneHour())
	var invalid x509.CertificateInvalidError
	_, err := handshake(t, expiredServer, client)
	is.True(errors.As(err, &invalid))
	err, _ = handshake(t, server, expiredClient)
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Reason, x509.Expired)
}

func TestPeerPortRejectsClientWithoutCertificate(t *testing.T) {
	is := is.New(t)
	server, client := newTestCA(t).config(mtls.RoleDaemon, inOneHour())
	client.Certificates = nil
	err, _ := handshake(t, server, client)
	is.True(err != nil)
}

func TestConfigNamesInvalidFile(t *testing.T) {
	is := is.New(t)
	good := newTestCA(t).issue(mtls.RoleDaemon, inOneHour())
	for _, breakFile := range []func(*setting.TLS) string{
		func(s *setting.TLS) string { s.CA = "missing-ca"; return s.CA },
		func(s *setting.TLS) string { s.CA = s.Key; return s.CA },
		func(s *setting.TLS) string { s.Cert = "missing-cert"; return s.Cert },
		func(s *setting.TLS) string { s.Key = "missing-key"; return s.Key },
		func(s *setting.TLS) string { s.Cert = s.CA; return s.Cert }, // the key does not belong to the certificate
	} {
		broken := good
		name := breakFile(&broken)
		_, _, err := mtls.Config(broken)
		var file *mtls.FileError
		is.True(errors.As(err, &file))
		is.Equal(file.File, name)
	}
}

func TestConfigRejectsUnsetMode(t *testing.T) {
	is := is.New(t)
	server, client, err := mtls.Config(setting.TLS{Mode: setting.TLSOff})
	is.NoErr(err)
	is.True(server == nil && client == nil && mtls.ForOperators(server) == nil)
	_, _, err = mtls.Config(setting.TLS{})
	var mode *mtls.ModeError
	is.True(errors.As(err, &mode))
}
