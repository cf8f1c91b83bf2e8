package testca_test

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/standin/testca"
)

func TestWrite_CertificatesContainRole(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "certs")
	now := time.Now()
	is.NoErr(testca.Write(dir, now, time.Hour))

	ca, err := os.ReadFile(filepath.Join(dir, testca.FileCA))
	is.NoErr(err)
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(ca))

	for role, files := range map[string][2]string{
		"daemon":   {testca.FileDaemon, testca.FileDaemonKey},
		"operator": {testca.FileOperator, testca.FileOperatorKey},
	} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, files[0]), filepath.Join(dir, files[1]))
		is.NoErr(err)
		_, err = pair.Leaf.Verify(x509.VerifyOptions{
			Roots:       roots,
			CurrentTime: now,
			KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
		})
		is.NoErr(err)
		is.Equal(pair.Leaf.URIs[0].String(), "cassialatch://"+role+"/test")
	}
}

func TestWrite_ErrorNamesDirectory(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "file")
	is.NoErr(os.WriteFile(file, nil, 0o600))
	err := testca.Write(file, time.Now(), time.Hour)
	var failed *testca.WriteError
	is.True(errors.As(err, &failed))
	is.Equal(failed.File, file)
}
