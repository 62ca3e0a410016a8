// Package client implements the gRPC client of callers and operators.
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

// Options configures a Client.
type Options struct {
	// Address is a daemon's IP:port, or the balancer's.
	Address string
	// CA is a PEM file; empty means plain text.
	CA string
	// Name and Secret authenticate an organisation or operator.
	Name, Secret string
	// Dial replaces TCP; for tests.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Client is a connection to one daemon. Use New.
type Client struct {
	conn   *grpc.ClientConn
	header string
	// Caller and Operator are the generated gRPC clients; their calls need the context that Context returns.
	Caller   rookpassv1.CallerClient
	Operator rookpassv1.OperatorClient
}

// New returns a Client, which connects at its first request.
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

// Context returns ctx with the client's authorization header.
func (c *Client) Context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, "authorization", c.header)
}

// Answer is the complete answer to a call.
type Answer struct {
	Output []byte
	Final  *rookpassv1.CallFinal
}

// Call makes a call and returns its complete answer. progress receives each chunk; it may be nil.
func (c *Client) Call(ctx context.Context, req *rookpassv1.CallRequest, progress func(*rookpassv1.CallChunk)) (Answer, error) {
	ctx, flag := sent.Track(c.Context(ctx))
	stream, err := c.Caller.Call(ctx, req)
	if err != nil {
		return Answer{}, flag.Error(err)
	}
	return receiveAnswer(stream, flag, progress)
}

// Resume returns the complete answer to a call that is in flight or finished.
func (c *Client) Resume(ctx context.Context, programID, requestID string) (Answer, error) {
	ctx, flag := sent.Track(c.Context(ctx))
	stream, err := c.Caller.Resume(ctx, &rookpassv1.ResumeRequest{ProgramId: programID, RequestId: requestID})
	if err != nil {
		return Answer{}, flag.Error(err)
	}
	return receiveAnswer(stream, flag, nil)
}

// receiveAnswer assembles the chunks of an answer. A chunk at an offset already received replaces the data from there
// on, since the call ran again at another owner. A truncated answer is an error.
func receiveAnswer(stream grpc.ServerStreamingClient[rookpassv1.CallEvent], flag *sent.Flag, progress func(*rookpassv1.CallChunk)) (Answer, error) {
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
			return answer, verdict.Unknown(verdict.Lost, 0, "chunk missing before offset %d", chunk.Offset)
		}
		answer.Output = append(answer.Output[:chunk.Offset], chunk.Data...)
		if progress != nil {
			progress(chunk)
		}
	}
	if answer.Final == nil || answer.Final.Length != int64(len(answer.Output)) {
		return answer, verdict.Unknown(verdict.Lost, 0, "answer is incomplete")
	}
	return answer, nil
}

// maxRetryDelay bounds the time between attempts of CallUntil.
const maxRetryDelay = 5 * time.Second

// CallUntil retries a call with the same request ID until it is answered, fails without a retry delay, or ctx ends.
// Between attempts it waits for the delay in the error, up to maxRetryDelay.
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
		if wait.For(ctx, min(typed.RetryAfter, maxRetryDelay)) != nil {
			return answer, err
		}
	}
}
