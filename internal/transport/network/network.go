// Package network opens connections and listeners: TCP, with or without TLS.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rookpass/rookpass/internal/base/tlsfiles"
)

// Network connects a daemon with callers, peers and backend servers. Tests replace it by an in-memory network.
type Network interface {
	// ListenCallers listens for gRPC connections of callers and operators.
	ListenCallers(address string) (net.Listener, error)
	// ListenHTTP listens for HTTP connections: lookups, health checks and metrics.
	ListenHTTP(address string) (net.Listener, error)
	// ListenPeers listens for other daemons.
	ListenPeers(address string) (net.Listener, error)
	// DialPeer connects to another daemon.
	DialPeer(ctx context.Context, address string) (net.Conn, error)
	// DialServer connects to a backend server or the object API.
	DialServer(address string) (net.Conn, error)
}

// serverDialTimeout limits dials to backend servers and the object API.
const serverDialTimeout = 2 * time.Second

// TCP implements Network over TCP.
type TCP struct {
	// Files holds the TLS keys; nil means plain text.
	Files *tlsfiles.Files
}

// ListenCallers implements Network.
func (n TCP) ListenCallers(address string) (net.Listener, error) { return n.listen(address, "h2") }

// ListenHTTP implements Network.
func (n TCP) ListenHTTP(address string) (net.Listener, error) { return n.listen(address, "http/1.1") }

// listen offers a single ALPN protocol; the handshake fails for clients that request another one.
func (n TCP) listen(address, protocol string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || n.Files == nil {
		return listener, err
	}
	config := n.Files.Server()
	config.NextProtos = []string{protocol}
	return tls.NewListener(listener, config), nil
}

// ListenPeers implements Network.
func (n TCP) ListenPeers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || n.Files == nil {
		return listener, err
	}
	return tls.NewListener(listener, n.Files.MutualServer()), nil
}

// DialPeer implements Network. Keys are read for each connection, so a new connection uses the latest ones.
func (n TCP) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	if n.Files == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	dialer := &tls.Dialer{Config: n.Files.MutualClient()}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialServer implements Network.
func (n TCP) DialServer(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, serverDialTimeout)
}
