package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateValidity is the lifetime of issued certificates.
const certificateValidity = 30 * 24 * time.Hour

// serialBits is the size of a certificate's random serial number.
const serialBits = 120

// IssueDevelopment creates a development CA and a certificate for each name in a folder: ca.pem, ca-key.pem, NAME.pem
// and NAME-key.pem. The certificates are valid for the given IP addresses. Existing files are replaced.
func IssueDevelopment(dir string, names []string, addresses []net.IP) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return Error.Wrap(err)
	}
	authority, err := certificateTemplate("rookpass development authority", nil)
	if err != nil {
		return err
	}
	authority.IsCA, authority.BasicConstraintsValid = true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := writePair(dir, "ca", authority, authority, authorityKey, authorityKey); err != nil {
		return err
	}
	for _, name := range names {
		certificate, err := certificateTemplate(name, addresses)
		if err != nil {
			return err
		}
		certificate.KeyUsage = x509.KeyUsageDigitalSignature
		certificate.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := writePair(dir, name, certificate, authority, key, authorityKey); err != nil {
			return err
		}
	}
	return nil
}

func certificateTemplate(name string, addresses []net.IP) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(certificateValidity),
		IPAddresses:  addresses,
	}, nil
}

// writePair signs a certificate and writes it and its key to NAME.pem and NAME-key.pem.
func writePair(dir, name string, certificate, authority *x509.Certificate, key, authorityKey *ecdsa.PrivateKey) error {
	signed, err := x509.CreateCertificate(rand.Reader, certificate, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return Error.Wrap(err)
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Error.Wrap(err)
	}
	certificatePEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: signed})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey})
	if err := os.WriteFile(filepath.Join(dir, name+".pem"), certificatePEM, 0o644); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(dir, name+"-key.pem"), keyPEM, 0o600))
}
