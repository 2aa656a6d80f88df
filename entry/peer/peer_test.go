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

// link is a client and the messages that reach the server and come back.
type link struct {
	client  *Client
	address string
	arrived chan control.Message
	proofs  chan control.Message
}

// open starts a server as "b" and a client as "a".
func open(t *testing.T, serverKeys, clientKeys *Keys) *link {
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
	out := &link{address: l.Addr().String(), arrived: make(chan control.Message, 64), proofs: make(chan control.Message, 64)}
	server := &Server{Self: "b", Keys: serverKeys, Offer: keep(out.arrived)}
	g.Go("server", func(ctx context.Context) error { return server.Serve(ctx, l) })
	out.client = &Client{Self: "a", Group: g, Clock: clock.System{}, Keys: clientKeys, Offer: keep(out.proofs)}
	return out
}

func keep(to chan control.Message) func(control.Message) bool {
	return func(m control.Message) bool {
		select {
		case to <- m:
			return true
		default:
			return false
		}
	}
}

// Guards against messages that change on the way or go to a process that they
// are not meant for, which would put the grants of a dead holder into force.
func TestDelivery(t *testing.T) {
	tests := map[string]any{
		"heartbeat": &tenure.Heartbeat{Sent: 7, Claims: []tenure.Claim{{DataCentre: "kelso", Epoch: 2, Instance: "a"}}},
		"demand":    &slot.Demand{DataCentre: "kelso", Epoch: 2, Asked: 9, Wants: []slot.Want{{Set: "weighbook", Slots: 3}}},
		"grants":    &slot.Grants{DataCentre: "kelso", Version: 4, Cells: []slot.Cell{{Upstream: "10.0.0.1:80", Parts: slot.Parts{Quick: 2}}}},
		"pin":       &slot.Pin{DataCentre: "kelso", ID: 3, Remaining: 100},
		"pinned":    &slot.Pinned{DataCentre: "kelso", ID: 3, Upstream: "10.0.0.1:80"},
		"handover":  &control.Handover{DataCentre: "kelso", Outstanding: []slot.Outstanding{{Holder: "c"}}},
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := open(t, nil, nil)
			l.client.Post(control.Outgoing{To: "c", Address: l.address, Body: body})
			is.Equal(<-l.proofs, control.PeerGone{Instance: "c"})
			l.client.Post(control.Outgoing{To: "b", Address: l.address, Body: body})
			is.Equal(<-l.arrived, control.Delivered{From: "a", To: "b", Body: body})
		})
	}
}

// Guards against a dead process that is taken for a silent one.
func TestRefusedAddress(t *testing.T) {
	l := open(t, nil, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closed.Addr().String()
	closed.Close()
	l.client.Post(control.Outgoing{To: "c", Address: address, Body: &slot.Pin{}})
	is.New(t).Equal((<-l.proofs).(control.AddressRefused).Address, address)
}

// authority signs the certificates of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func sign(t *testing.T, by *authority) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
		IsCA: by == nil, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if by == nil {
		by = &authority{cert: template, key: key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, by.cert, &key.PublicKey, by.key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// write stores a certificate of ca in the files of k, changed at the stamp.
func write(t *testing.T, k *Keys, ca *authority, stamp int64) {
	t.Helper()
	leaf := sign(t, ca)
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
		if err := os.Chtimes(name, time.Unix(stamp, 0), time.Unix(stamp, 0)); err != nil {
			t.Fatal(err)
		}
	}
}

func newKeys(t *testing.T, ca *authority) *Keys {
	t.Helper()
	dir := t.TempDir()
	k := &Keys{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	write(t, k, ca, 1)
	return k
}

// Guards against peers that are let in without a certificate of the authority,
// and against keys that need a restart to change.
func TestKeys(t *testing.T) {
	is := is.New(t)
	old, next := sign(t, nil), sign(t, nil)
	server, client := newKeys(t, old), newKeys(t, next)
	l := open(t, server, client)
	message := control.Outgoing{To: "b", Address: l.address, Body: &slot.Pin{ID: 1}}
	conn, err := l.client.connect(l.address)
	is.NoErr(err)
	defer conn.Close()
	before := failed.Value()
	l.client.send(context.Background(), conn, message)
	is.Equal(failed.Value(), before+1) // the authorities differ
	is.Equal(len(l.arrived), 0)
	write(t, server, next, 2)
	for state := conn.GetState(); state != connectivity.Ready; state = conn.GetState() {
		conn.Connect()
		conn.WaitForStateChange(context.Background(), state)
	}
	l.client.send(context.Background(), conn, message)
	is.Equal(len(l.arrived), 1)
	is.NoErr(os.WriteFile(client.Cert, []byte("damaged"), 0o600))
	is.NoErr(client.Load()) // the last usable keys stay
}
