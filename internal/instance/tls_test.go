package instance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/internal/wire"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert = a.sign(template, template, a.key, a.key, "authority")
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) sign(template, parent *x509.Certificate, key, by *ecdsa.PrivateKey, name string) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, by)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".key", "PRIVATE KEY", private)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *authority) write(name, kind string, der []byte) {
	if err := os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue issues a certificate for loopback and returns the settings that use it.
func (a *authority) issue(name string) settings.TLS {
	a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, newKey(a.t), a.key, name)
	file := func(n string) string { return filepath.Join(a.dir, n) }
	return settings.TLS{Certificate: file(name + ".pem"), Key: file(name + ".key"), Authority: file("authority.pem")}
}

// Guards against clients without a certificate of the configured authority.
func TestControlRequiresCertificate(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	s := settings.Default()
	s.HashKey = "000102030405060708090a0b0c0d0e0f"
	s.Fabric = freeAddr(t, "udp")
	s.TLS = ours.issue("one")
	s.Instances = []settings.Instance{{Name: "one", Domain: "d", PacketAddr: freeAddr(t, "udp"), ControlAddr: freeAddr(t, "tcp"), DataFolder: filepath.Join(t.TempDir(), "one")}}
	logger, err := telemetry.NewLogger(io.Discard, "error", "one")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	i, err := New(Config{Settings: s, Name: "one", Log: logger, Now: time.Now})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = i.Run(context.Background()) }()
	t.Cleanup(i.Kill)

	ask := func(with settings.TLS) error {
		client, done, err := Dial(context.Background(), s.Instances[0].ControlAddr, with)
		if err != nil {
			return err
		}
		defer func() { _ = done() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = client.Status(ctx, &wire.StatusRequest{})
		return err
	}
	g.Eventually(func() error { return ask(ours.issue("operator")) }, 10*time.Second).Should(gomega.Succeed())
	g.Expect(ask(settings.TLS{})).NotTo(gomega.Succeed(), "without a certificate")
	stranger := theirs.issue("stranger")
	stranger.Authority = s.TLS.Authority
	g.Expect(ask(stranger)).NotTo(gomega.Succeed(), "with another authority's")
}
