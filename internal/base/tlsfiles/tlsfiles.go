// Package tlsfiles makes TLS configurations from PEM files and reloads the files when they change, so that keys can be
// rotated without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("tls")

// recheckInterval is the minimum time between two checks of the files' modification times.
const recheckInterval = time.Second

// Files is a set of PEM files. Use New to load one.
type Files struct {
	ca, certificate, key string

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	pool      *x509.CertPool
	pair      *tls.Certificate
}

// New loads the files. It returns an error if one can't be read or parsed, or the key does not match the certificate.
func New(ca, certificate, key string) (*Files, error) {
	f := &Files{ca: ca, certificate: certificate, key: key}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f, f.load()
}

// load reads the files if one was modified since the last successful load. On an error, the files loaded before stay in
// use. The caller holds mu.
func (f *Files) load() error {
	f.lastCheck = time.Now()
	var newest time.Time
	for _, name := range []string{f.ca, f.certificate, f.key} {
		info, err := os.Stat(name)
		if err != nil {
			return Error.Wrap(err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if f.pair != nil && !newest.After(f.modTime) {
		return nil
	}
	pem, err := os.ReadFile(f.ca)
	if err != nil {
		return Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Error.New("%s contains no certificate", f.ca)
	}
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return Error.Wrap(err)
	}
	f.pool, f.pair, f.modTime = pool, &pair, newest
	return nil
}

// current returns the CA pool and the certificate, reloaded if necessary.
func (f *Files) current() (*x509.CertPool, *tls.Certificate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastCheck) > recheckInterval {
		_ = f.load() // on an error the files loaded before stay in use; New has loaded some
	}
	return f.pool, f.pair
}

// Server returns the configuration for listeners to callers and operators, who authenticate with secrets instead of
// certificates.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			_, pair := f.current()
			return pair, nil
		},
	}
}

// MutualServer returns the configuration for listeners to other daemons, which authenticate with a certificate of the
// same CA.
func (f *Files) MutualServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pool, pair := f.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// MutualClient returns the configuration for connections to other daemons, whose certificates must be valid for their
// IP addresses.
func (f *Files) MutualClient() *tls.Config {
	pool, pair := f.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*pair}}
}
