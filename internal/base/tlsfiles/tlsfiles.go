// Package tlsfiles makes TLS configurations from PEM files and reads them again when they change, so that
// keys are rotated without a restart.
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

// recheckInterval is how often the files' times are looked at, at most.
const recheckInterval = time.Second

// Files is a set of PEM files. Use New.
type Files struct {
	ca, certificate, key string

	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	pool      *x509.CertPool
	pair      *tls.Certificate
}

// New reads the files and returns an error if they do not fit together.
func New(ca, certificate, key string) (*Files, error) {
	f := &Files{ca: ca, certificate: certificate, key: key}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f, f.load()
}

// load reads the files again if one is newer than what is in use. Files that can't be read leave the former
// ones in use.
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
		return Error.New("%s holds no certificate", f.ca)
	}
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return Error.Wrap(err)
	}
	f.pool, f.pair, f.modTime = pool, &pair, newest
	return nil
}

// current returns the authority and certificate in use.
func (f *Files) current() (*x509.CertPool, *tls.Certificate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastCheck) > recheckInterval {
		_ = f.load() // The former files stay in use; New has checked that there are some.
	}
	return f.pool, f.pair
}

// Server returns the configuration for callers and operators, who prove themselves by secrets.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			_, pair := f.current()
			return pair, nil
		},
	}
}

// MutualServer returns the configuration for other daemons, which prove themselves by a certificate of the
// same authority.
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

// MutualClient returns the configuration for connections to other daemons. Their certificates carry their IP
// addresses.
func (f *Files) MutualClient() *tls.Config {
	pool, pair := f.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, Certificates: []tls.Certificate{*pair}}
}
