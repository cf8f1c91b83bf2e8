package invariant

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/fleet/forward"
	"cassialatch.dev/fleet/peer"
	"cassialatch.dev/outcome"
	"cassialatch.dev/standin/caller"
	"cassialatch.dev/tests/harness"
	"cassialatch.dev/wire/engineapi"
	"cassialatch.dev/wire/peerpb"
)

// scriptedPeer responds to each forward with the same parts.
type scriptedPeer struct {
	peerpb.DRPCPeerUnimplementedServer
	parts []*peerpb.ForwardResponse // a zero nonce is replaced by that of the request
}

// Forward implements the drpc service.
func (s *scriptedPeer) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	for _, part := range s.parts {
		if part.Nonce == 0 {
			part.Nonce = first.GetStart().Nonce
		}
		if err := stream.Send(part); err != nil {
			return err
		}
	}
	return nil
}

// serve runs the peer until the test ends and returns its address.
func (s *scriptedPeer) serve(t *testing.T) string {
	t.Helper()
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// headPart, dataPart and endPart return the parts of a response.
func headPart(seq uint32) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{Seq: seq, Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ResponseHead{Status: 200}}}
}

func dataPart(seq uint32, text string) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{Seq: seq, Part: &peerpb.ForwardResponse_Data{Data: []byte(text)}}
}

func endPart(seq uint32, bytes uint64) *peerpb.ForwardResponse {
	return &peerpb.ForwardResponse{Seq: seq, Part: &peerpb.ForwardResponse_End{End: &peerpb.ResponseEnd{Bytes: bytes}}}
}

// withOtherNonce sets the nonce of a part to that of another request.
func withOtherNonce(part *peerpb.ForwardResponse) *peerpb.ForwardResponse {
	part.Nonce = 1
	return part
}

// recordingSink is a forward.Sink that records the data and whether the response
// ended.
type recordingSink struct {
	data  strings.Builder
	ended bool
}

func (s *recordingSink) Head(forward.ResponseHead) error { return nil }
func (s *recordingSink) Data(p []byte) error             { s.data.Write(p); return nil }
func (s *recordingSink) End(forward.ResponseEnd) error   { s.ended = true; return nil }

func TestForwardAcceptsOnlyItsOwnPartsInOrder(t *testing.T) {
	type parts = []*peerpb.ForwardResponse
	cases := []struct {
		name  string
		parts parts
		want  outcome.Code // empty for a complete response
	}{
		{"complete", parts{headPart(0), dataPart(1, "ab"), dataPart(2, "cd"), endPart(3, 4)}, ""},
		{"part of another request", parts{headPart(0), withOtherNonce(dataPart(1, "ab")), endPart(2, 2)}, outcome.CodeResponseMismatch},
		{"duplicate part", parts{headPart(0), dataPart(1, "ab"), dataPart(1, "ab"), endPart(2, 4)}, outcome.CodeResponseMismatch},
		{"reordered parts", parts{headPart(0), dataPart(2, "cd"), dataPart(1, "ab"), endPart(3, 4)}, outcome.CodeResponseMismatch},
		{"missing part", parts{headPart(0), dataPart(1, "ab"), endPart(3, 4)}, outcome.CodeResponseMismatch},
		{"two heads", parts{headPart(0), headPart(1), endPart(2, 0)}, outcome.CodeResponseMismatch},
		{"data before the head", parts{dataPart(0, "ab"), headPart(1), endPart(2, 2)}, outcome.CodeResponseMismatch},
		{"empty part", parts{headPart(0), {Seq: 1}, endPart(2, 0)}, outcome.CodeResponseMismatch},
		{"end without a head", parts{endPart(0, 0)}, outcome.CodeResponseTruncated},
		{"wrong length", parts{headPart(0), dataPart(1, "ab"), endPart(2, 3)}, outcome.CodeResponseTruncated},
		{"no end", parts{headPart(0), dataPart(1, "ab")}, outcome.CodeResponseTruncated},
		{"no parts", nil, outcome.CodeResponseTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := peer.NewClient(&peer.Dialer{}, func(string) bool { return false })
			defer client.Close()
			sink := &recordingSink{}
			err := client.ExecutorFor((&scriptedPeer{parts: c.parts}).serve(t)).Execute(context.Background(), &peerpb.ForwardStart{}, nil, sink)
			is.Equal(sink.ended, c.want == "")
			if c.want == "" {
				is.NoErr(err)
				is.Equal(sink.data.String(), "abcd")
				return
			}
			is.Equal(outcome.From(err).Code, c.want)
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
		})
	}
}

func TestBackendResponseIsCompleteOrAnError(t *testing.T) {
	const ok, stream = "HTTP/1.1 200 OK\r\nConnection: close\r\n", "Content-Type: text/event-stream\r\n"
	filler := "data: " + strings.Repeat("x", 16<<10-len("data: "))
	cases := []struct {
		name, response string
		want           outcome.Code // empty for a complete response
	}{
		{"stream", ok + stream + "\r\ndata: {}\n\ndata: [DONE]\n\n", ""},
		{"stream without its end marker", ok + stream + "\r\ndata: {}\n\n", outcome.CodeResponseTruncated},
		{"stream truncated in a chunk", ok + stream + "Transfer-Encoding: chunked\r\n\r\n20\r\ndata: [DONE]\n\n", outcome.CodeResponseTruncated},
		{"end marker within a long line", ok + stream + "\r\n" + filler + "data: [DONE]\n\n", outcome.CodeResponseTruncated},
		{"body", ok + "Content-Length: 2\r\n\r\n{}", ""},
		{"short body", ok + "Content-Length: 3\r\n\r\n{}", outcome.CodeResponseTruncated},
		{"own request id", ok + "X-Request-Id: mine\r\nContent-Length: 0\r\n\r\n", ""},
		{"id of another request", ok + "X-Request-Id: other\r\nContent-Length: 0\r\n\r\n", outcome.CodeResponseMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := newRawServer(t, func(conn net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					fmt.Fprint(conn, c.response)
				}
			})
			client := backend.NewClient(nil)
			defer client.Close()
			_, err := client.Do(context.Background(), backend.Call{
				Address: server.Addr().String(), Method: "GET", Path: "/", RequestID: "mine", Idempotent: true,
			}, nopSink{})
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(outcome.From(err).Code, c.want)
			is.Equal(outcome.From(err).Outcome, outcome.Unknown)
		})
	}
}

// dataSink is a backend.Sink that records the data.
type dataSink struct {
	nopSink
	data strings.Builder
}

func (s *dataSink) Data(p []byte) error { s.data.Write(p); return nil }

func TestPartialLineOfTruncatedStreamIsNotForwarded(t *testing.T) {
	for _, c := range []struct {
		sent, forwarded string
		want            outcome.Code // empty for a complete response
	}{
		{"data: {}\n\ndata: {\"half", "data: {}\n\n", outcome.CodeResponseTruncated}, // an error event can follow the last complete line
		{"data: {}\n\ndata: [DONE]", "data: {}\n\ndata: [DONE]", ""},
	} {
		is := is.New(t)
		server := newRawServer(t, func(conn net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+c.sent)
			}
		})
		client := backend.NewClient(nil)
		sink := &dataSink{}
		_, err := client.Do(context.Background(), backend.Call{Address: server.Addr().String(), Method: "GET", Path: "/"}, sink)
		client.Close()
		is.Equal(err == nil, c.want == "")
		is.True(err == nil || outcome.From(err).Code == c.want)
		is.Equal(sink.data.String(), c.forwarded)
	}
}

func TestCutStreamNeverEndsClean(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, harness.Options{Daemons: 3, Engines: 2})
	entry, homes := f.Daemons[2:], f.Daemons[:2]
	cases := []struct {
		name      string
		interrupt func()
	}{
		{"home is lost", func() { f.Network.Partition(entry, homes) }},
		{"engine crashes", func() {
			for _, e := range f.Engines {
				e.Crash()
			}
		}},
		{"engine closes its connections", func() {
			for _, e := range f.Engines {
				e.Server.CloseClientConnections()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer f.Network.Heal(entry, homes)
			interruptStream(t, f, c.interrupt)
		})
		f.Eventually("all daemons see each other alive", func() bool { return allAlive(f.Daemons) })
	}
}

// interruptStream interrupts a streamed response after its first event and checks
// that the rest ends in an error event and a broken connection.
func interruptStream(t *testing.T, f *harness.Fleet, interrupt func()) {
	is := is.New(t)
	r := chatRequest(t.Name())
	req, err := http.NewRequest(r.method, "http://"+f.Daemons[2].Settings.Listen.Caller+r.path, strings.NewReader(r.body))
	is.NoErr(err)
	req.Header.Set(outcome.HeaderWorkspace, harness.Workspace)
	slowEnginesBy(f, 2000)
	defer slowEnginesBy(f, 1)
	resp, err := noRetryClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	first, err := in.ReadString('\n')
	is.NoErr(err)
	is.True(strings.HasPrefix(first, "data: {"))
	interrupt()
	rest, err := io.ReadAll(in)
	is.True(err != nil)                                            // the connection does not end cleanly
	is.True(!strings.Contains(string(rest), engineapi.StreamDone)) // and there is no end marker
	is.True(strings.Contains(string(rest), "event: error\ndata: {\"error\":"))
	is.True(strings.Contains(string(rest), `"outcome":"unknown"`))
}

func TestConcurrentChatsGetTheirOwnResponses(t *testing.T) {
	t.Parallel()
	t.Run("faults false", func(t *testing.T) {
		f := harness.Start(t, harness.Options{Daemons: 3, Engines: 3, ModifySettings: toleratePauses})
		runChats(t, f, false)
	})
	t.Run("faults true", func(t *testing.T) {
		f := harness.Start(t, harness.Options{Daemons: 3, Engines: 3})
		runChats(t, f, true)
	})
}

// runChats holds several chats at once, under injected faults if faulty is set.
func runChats(t *testing.T, f *harness.Fleet, faulty bool) {
	const callers, turns = 16, 10
	ctx, cancel := context.WithTimeout(context.Background(), harness.WaitTimeout)
	defer cancel()
	injectCtx, stopFaults := context.WithCancel(ctx)
	var injector, wg sync.WaitGroup
	if faulty {
		injector.Go(func() { injectFaults(injectCtx, f) })
	}
	for c := range callers {
		client := f.Caller(uint64(c))
		wg.Go(func() { runChat(ctx, t, client, fmt.Sprintf("chat %d %t", c, faulty), turns, faulty) })
	}
	wg.Wait()
	stopFaults()
	injector.Wait()
}

// runChat holds a chat of several turns. The client verifies each response. Under
// faults a response may be truncated, but it may never be that of another chat or
// end early without an error.
func runChat(ctx context.Context, t *testing.T, client *caller.Client, name string, turns int, faulty bool) {
	req := engineapi.ChatRequest{Model: harness.Model, MaxTokens: 24}
	token := ""
	for i := range turns {
		req.Messages = append(req.Messages, engineapi.Message{Role: "user", Content: fmt.Sprintf("%s question %d", name, i)})
		resp, err := client.Chat(ctx, caller.ChatCall{Request: req, RequestID: fmt.Sprintf("%s-%d", name, i), Token: token})
		var invalid *caller.InvalidResponseError
		if err != nil && (!faulty || errors.As(err, &invalid) && invalid.Defect != caller.DefectAborted) {
			t.Errorf("%s, turn %d: %v", name, i, err)
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		token = resp.Token
		req.Messages = append(req.Messages, engineapi.Message{Role: "assistant", Content: resp.Content})
	}
}
