// Package client reaches rookpass as callers and operators do.
package client

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/route"
	"github.com/rookpass/rookpass/internal/rookpassd/sent"
)

// Error is the class of this package's errors.
var Error = errs.Class("client")

// Options of a Client.
type Options struct {
	// Address is a daemon's IP:port, or the balancer's.
	Address string
	// CA is a PEM file; empty means plain text.
	CA string
	// Name and Secret prove an organisation or operator.
	Name, Secret string
	// Dial replaces TCP; for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is a connection to one daemon. Use New.
type Client struct {
	conn   *grpc.ClientConn
	header string
	// Caller and Operator are the bare services.
	Caller   rookpassv1.CallerClient
	Operator rookpassv1.OperatorClient
}

// New returns a client. It connects at its first request.
func New(options Options) (*Client, error) {
	transport := insecure.NewCredentials()
	if options.CA != "" {
		pem, err := os.ReadFile(options.CA)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, Error.New("%s holds no certificate", options.CA)
		}
		transport = credentials.NewTLS(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13})
	}
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(route.MaxMessageBytes)),
		grpc.WithStatsHandler(sent.Handler{}),
		grpc.WithDisableServiceConfig(),
	}
	if options.Dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(options.Dial))
	}
	conn, err := grpc.NewClient("passthrough:///"+options.Address, dialOptions...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Client{
		conn:     conn,
		header:   auth.Header(options.Name, options.Secret),
		Caller:   rookpassv1.NewCallerClient(conn),
		Operator: rookpassv1.NewOperatorClient(conn),
	}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Context returns ctx with the client's proof.
func (c *Client) Context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", c.header)
}

// Answer is the whole answer of a call.
type Answer struct {
	Output []byte
	Final  *rookpassv1.CallFinal
}

// Call makes a call and gathers its answer. progress may be nil; it gets each chunk.
func (c *Client) Call(ctx context.Context, req *rookpassv1.CallRequest, progress func(*rookpassv1.CallChunk)) (Answer, error) {
	ctx, flag := sent.Track(c.Context(ctx))
	stream, err := c.Caller.Call(ctx, req)
	if err != nil {
		return Answer{}, flag.Error(err)
	}
	return gather(stream, flag, progress)
}

// Resume gathers the answer of a call that is under way or finished.
func (c *Client) Resume(ctx context.Context, programID, requestID string) (Answer, error) {
	ctx, flag := sent.Track(c.Context(ctx))
	stream, err := c.Caller.Resume(ctx, &rookpassv1.ResumeRequest{ProgramId: programID, RequestId: requestID})
	if err != nil {
		return Answer{}, flag.Error(err)
	}
	return gather(stream, flag, nil)
}

// gather puts the chunks together. A chunk below what was received replaces it from there: the call ran
// again at another owner. An answer that is not whole is an error.
func gather(stream grpc.ServerStreamingClient[rookpassv1.CallEvent], flag *sent.Flag, progress func(*rookpassv1.CallChunk)) (Answer, error) {
	var answer Answer
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return answer, flag.Error(err)
		}
		answer.Final = event.GetFinal()
		chunk := event.GetChunk()
		if chunk == nil {
			continue
		}
		if chunk.Offset > int64(len(answer.Output)) {
			return answer, verdict.Unknown(verdict.Lost, 0, "a chunk is missing before offset %d", chunk.Offset)
		}
		answer.Output = append(answer.Output[:chunk.Offset], chunk.Data...)
		if progress != nil {
			progress(chunk)
		}
	}
	if answer.Final == nil || answer.Final.Length != int64(len(answer.Output)) {
		return answer, verdict.Unknown(verdict.Lost, 0, "the answer is not whole")
	}
	return answer, nil
}

// maxPause bounds the time between a caller's attempts.
const maxPause = 5 * time.Second

// CallUntil repeats a call with the same request id until it is answered, refused for good, or ctx ends. It
// waits as long as each refusal says.
func (c *Client) CallUntil(ctx context.Context, req *rookpassv1.CallRequest, progress func(*rookpassv1.CallChunk)) (Answer, error) {
	for {
		answer, err := c.Call(ctx, req, progress)
		if err == nil {
			return answer, nil
		}
		typed := verdict.Of(err)
		if typed.RetryAfter == 0 || ctx.Err() != nil {
			return answer, err
		}
		if wait.For(ctx, min(typed.RetryAfter, maxPause)) != nil {
			return answer, err
		}
	}
}
