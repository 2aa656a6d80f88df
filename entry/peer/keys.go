package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
)

// Keys holds the names and contents of the files for mutual TLS. Files that
// have changed are read again at the next handshake. If they are invalid, the
// last valid contents stay in use.
type Keys struct {
	Cert, Key, CA string // PEM files

	mu       sync.Mutex
	modTimes [3]time.Time
	material *keyMaterial
}

// keyMaterial is the parsed content of the key files.
type keyMaterial struct {
	cert        tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. It returns an error if they are invalid and no earlier
// valid contents are loaded.
func (k *Keys) Load() error {
	_, err := k.current()
	return err
}

// current returns the current contents of the files, or the last valid ones. If
// there are none, it returns the error of reading the files.
func (k *Keys) current() (*keyMaterial, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	modTimes, err := k.readModTimes()
	if err == nil && (k.material == nil || modTimes != k.modTimes) {
		var l *keyMaterial
		if l, err = k.readFiles(); err == nil {
			k.material, k.modTimes = l, modTimes
		}
	}
	if k.material != nil {
		return k.material, nil
	}
	return nil, err
}

// readModTimes returns the modification times of the three files.
func (k *Keys) readModTimes() (modTimes [3]time.Time, err error) {
	for i, name := range []string{k.Cert, k.Key, k.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, err
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// readFiles reads and parses the files.
func (k *Keys) readFiles() (*keyMaterial, error) {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no certificate", k.CA)
	}
	return &keyMaterial{cert: cert, authorities: pool}, nil
}

// serverCredentials returns credentials that require a client certificate of
// the authority.
func (k *Keys) serverCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l, err := k.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.authorities,
				NextProtos:   []string{"h2"},
			}, nil
		},
	})
}

// clientCredentials returns credentials for a peer at address. The certificate
// of the peer must contain its IP address. An equivalent function replaces the
// standard verification, because the authorities of a tls.Config can't change
// after it is created.
func (k *Keys) clientCredentials(address string) credentials.TransportCredentials {
	host, _, _ := net.SplitHostPort(address)
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return k.verify(host, cs.PeerCertificates) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			l, err := k.current()
			if err != nil {
				return nil, err
			}
			return &l.cert, nil
		},
	})
}

// verify checks that the chain leads to the current authorities and that its
// first certificate is valid for host.
func (k *Keys) verify(host string, chain []*x509.Certificate) error {
	l, err := k.current()
	if err != nil {
		return err
	}
	if len(chain) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err = chain[0].Verify(x509.VerifyOptions{DNSName: host, Roots: l.authorities, Intermediates: intermediates})
	return err
}
