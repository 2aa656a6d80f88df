package peer

import (
	"context"
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
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/connectivity"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/tenure"
)

// fixture is a client, the messages that the server received, and the failures
// that the client reported.
type fixture struct {
	client   *Client
	address  string
	received chan control.Message
	failures chan control.Message
}

// newFixture starts a server as instance "b" and a client as instance "a". A
// nil Keys disables TLS.
func newFixture(t *testing.T, serverKeys, clientKeys *Keys) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(ctx)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	out := &fixture{address: l.Addr().String(), received: make(chan control.Message, 64), failures: make(chan control.Message, 64)}
	server := &Server{Self: "b", Keys: serverKeys, Offer: offerTo(out.received)}
	g.Go("server", func(ctx context.Context) error { return server.Serve(ctx, l) })
	out.client = &Client{Self: "a", Group: g, Clock: clock.System{}, Keys: clientKeys, Offer: offerTo(out.failures)}
	return out
}

// offerTo returns an Offer function that sends to a channel and drops messages
// if the channel is full.
func offerTo(to chan control.Message) func(control.Message) bool {
	return func(m control.Message) bool {
		select {
		case to <- m:
			return true
		default:
			return false
		}
	}
}

// Guards against messages that are altered in transit or accepted by an
// instance other than the addressee, which would apply the grants of a dead
// holder.
func TestDelivery(t *testing.T) {
	tests := map[string]any{
		"heartbeat": &tenure.Heartbeat{Sent: 7, Claims: []tenure.Claim{{DataCentre: "kelso", Epoch: 2, Instance: "a"}}},
		"demand":    &slot.Demand{DataCentre: "kelso", Epoch: 2, SentAt: 9, DemandBySet: []slot.UpstreamSetDemand{{Set: "weighbook", Slots: 3}}},
		"grants":    &slot.Grants{DataCentre: "kelso", Version: 4, Allocations: []slot.Allocation{{Upstream: "10.0.0.1:80", Parts: slot.Parts{Quick: 2}}}},
		"pin":       &slot.PinRequest{DataCentre: "kelso", ID: 3, Remaining: 100},
		"pinned":    &slot.PinReply{DataCentre: "kelso", ID: 3, Upstream: "10.0.0.1:80"},
		"handover":  &control.Handover{DataCentre: "kelso", Outstanding: []slot.Outstanding{{Holder: "c"}}},
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newFixture(t, nil, nil)
			l.client.Post(control.Outgoing{To: "c", Address: l.address, Body: body})
			is.Equal(<-l.failures, control.PeerDead{Instance: "c"})
			l.client.Post(control.Outgoing{To: "b", Address: l.address, Body: body})
			is.Equal(<-l.received, control.PeerMessage{From: "a", To: "b", Body: body})
		})
	}
}

// Guards against a dead process that is treated as unresponsive, although its
// address refuses connections.
func TestRefusedAddress(t *testing.T) {
	l := newFixture(t, nil, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	l.client.Post(control.Outgoing{To: "c", Address: address, Body: &slot.PinRequest{}})
	is.New(t).Equal((<-l.failures).(control.AddressRefused).Address, address)
}

// testCertificate is a certificate with its key. It serves as an authority or
// as a leaf.
type testCertificate struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

// newCertificate returns a leaf signed by issuer, or an authority if issuer is
// nil.
func newCertificate(t *testing.T, issuer *testCertificate) *testCertificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
		IsCA: issuer == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if issuer == nil {
		issuer = &testCertificate{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.cert, &key.PublicKey, issuer.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testCertificate{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// writeCertificate writes a new certificate of ca to the files of k and sets
// their modification time to modTime, in seconds since the Unix epoch.
func writeCertificate(t *testing.T, k *Keys, ca *testCertificate, modTime int64) {
	t.Helper()
	leaf := newCertificate(t, ca)
	der, err := x509.MarshalECPrivateKey(leaf.key)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{
		k.Cert: leaf.pem, k.CA: ca.pem,
		k.Key: pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}),
	} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, time.Unix(modTime, 0), time.Unix(modTime, 0)); err != nil {
			t.Fatal(err)
		}
	}
}

// writeKeys returns Keys with a new certificate of ca in temporary files.
func writeKeys(t *testing.T, ca *testCertificate) *Keys {
	t.Helper()
	dir := t.TempDir()
	k := &Keys{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	writeCertificate(t, k, ca, 1)
	return k
}

// Guards against peers that are accepted without a certificate of the
// authority, and against changed key files that take effect only after a
// restart.
func TestKeys(t *testing.T) {
	is := is.New(t)
	old, next := newCertificate(t, nil), newCertificate(t, nil)
	server, client := writeKeys(t, old), writeKeys(t, next)
	l := newFixture(t, server, client)
	message := control.Outgoing{To: "b", Address: l.address, Body: &slot.PinRequest{ID: 1}}
	conn, err := l.client.connect(l.address)
	is.NoErr(err)
	defer conn.Close()
	before := failedCount.Value()
	l.client.send(context.Background(), conn, message)
	is.Equal(failedCount.Value(), before+1) // the authorities differ
	is.Equal(len(l.received), 0)
	writeCertificate(t, server, next, 2)
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		conn.WaitForStateChange(context.Background(), state)
	}
	l.client.send(context.Background(), conn, message)
	is.Equal(len(l.received), 1)
	is.NoErr(os.WriteFile(client.Cert, []byte("damaged"), 0o600))
	is.NoErr(client.Load()) // the last valid keys stay in use
}
