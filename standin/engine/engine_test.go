package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cassialatch.dev/standin/engine"
	"cassialatch.dev/wire/engineapi"
	"github.com/matryer/is"
)

// fastConfig returns a configuration without delays.
func fastConfig() engine.Config {
	c := engine.DefaultConfig()
	c.Instance = "e1"
	c.PrefillPerToken, c.DecodePerToken, c.EventLag, c.ReportLag = 0, 0, 0, 0
	return c
}

// blockedConfig returns a configuration in which no request reaches its first
// token.
func blockedConfig() engine.Config {
	c := fastConfig()
	c.DecodePerToken = time.Hour
	return c
}

func serve(t *testing.T, c engine.Config) (*engine.Engine, string) {
	e := engine.New(c)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return e, server.URL
}

func request(stream bool, contents ...string) engineapi.ChatRequest {
	req := engineapi.ChatRequest{Model: "klang-model", MaxTokens: 5, Stream: stream}
	for i, c := range contents {
		req.Messages = append(req.Messages, engineapi.Message{Role: []string{"user", "assistant"}[i%2], Content: c})
	}
	return req
}

func post(ctx context.Context, url string, body any, headers ...string) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, chunkedReader{bytes.NewReader(b)})
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

// chunkedReader hides the length of a body, so that it is sent in chunks.
type chunkedReader struct {
	io.Reader
}

// readStream returns the content and usage of the events and whether [DONE] was
// received.
func readStream(is *is.I, resp *http.Response) (content string, usage engineapi.Usage, done bool) {
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == engineapi.StreamDone {
			return content, usage, true
		}
		var event engineapi.StreamEvent
		is.NoErr(json.Unmarshal([]byte(data), &event))
		content += event.Choices[0].Delta.Content
		if event.Usage != nil {
			usage = *event.Usage
		}
	}
	return content, usage, false
}

func complete(is *is.I, url string, req engineapi.ChatRequest, headers ...string) engineapi.Usage {
	resp, err := post(context.Background(), url+"/v1/chat/completions", req, headers...)
	is.NoErr(err)
	content, usage, done := readStream(is, resp)
	is.True(done)
	is.Equal(content, strings.Join(engine.ExpectedWords(req), " "))
	return usage
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout: condition is still false")
		}
	}
}

func TestEngine_CachesEarlierTurn(t *testing.T) {
	is := is.New(t)
	_, url := serve(t, fastConfig())
	first := request(true, "which bell is this")
	usage := complete(is, url, first)
	is.Equal(usage, engineapi.Usage{PromptTokens: 4, CompletionTokens: 5})
	second := request(true, "which bell is this", strings.Join(engine.ExpectedWords(first), " "), "and its year")
	is.Equal(complete(is, url, second).CachedTokens, 9)
}

func TestEngine_UnstreamedResponseMatchesStream(t *testing.T) {
	is := is.New(t)
	_, url := serve(t, fastConfig())
	req := request(false, "hello")
	resp, err := post(context.Background(), url+"/v1/chat/completions", req)
	is.NoErr(err)
	defer resp.Body.Close()
	var response engineapi.ChatResponse
	is.NoErr(json.NewDecoder(resp.Body).Decode(&response))
	is.Equal(response.Choices[0].Message.Content, strings.Join(engine.ExpectedWords(req), " "))
}

func TestEngine_CacheBoundAndEventGaps(t *testing.T) {
	is := is.New(t)
	c := fastConfig()
	c.CacheTokens, c.EventGap = 12, 3
	e, url := serve(t, c)
	for _, content := range []string{"one two three", "four five six", "seven eight nine"} {
		complete(is, url, request(true, content))
	}
	is.True(e.Stats().CacheTokens <= 12)
	resp, err := http.Get(url + "/v1/cache-events?after=1")
	is.NoErr(err)
	defer resp.Body.Close()
	var page engineapi.CacheEvents
	is.NoErr(json.NewDecoder(resp.Body).Decode(&page))
	kinds := map[engineapi.CacheEventKind]int{}
	for _, event := range page.Events {
		is.True(event.Seq > 1 && event.Seq%3 != 0)
		kinds[event.Kind]++
	}
	is.True(kinds[engineapi.CacheStored] > 0 && kinds[engineapi.CacheEvicted] > 0)
}

func TestEngine_CacheExportAndImport(t *testing.T) {
	is := is.New(t)
	_, from := serve(t, fastConfig())
	_, to := serve(t, fastConfig())
	req := request(true, "which bell is this")
	complete(is, from, req)
	prefixes := engine.PrefixHashes(req.Messages)
	resp, err := post(context.Background(), from+"/v1/cache/export", engineapi.CacheSelector{Prefixes: prefixes})
	is.NoErr(err)
	imported, err := http.Post(to+"/v1/cache/import", "application/octet-stream", resp.Body)
	is.NoErr(err)
	imported.Body.Close()
	resp.Body.Close()
	is.Equal(complete(is, to, req).CachedTokens, 4)
}

func TestEngine_PriorityOrderAndCancelOnClose(t *testing.T) {
	is := is.New(t)
	c := blockedConfig()
	c.Slots = 1
	e, url := serve(t, c)
	ctx := make([]context.Context, 3)
	cancel := make([]context.CancelFunc, 3)
	for i, priority := range []string{"0", "1", "5"} {
		ctx[i], cancel[i] = context.WithCancel(context.Background())
		defer cancel[i]()
		go func() {
			resp, err := post(ctx[i], url+"/v1/chat/completions", request(true, "x"), engineapi.HeaderPriority, priority, engineapi.HeaderRequestID, priority)
			if err == nil {
				resp.Body.Close()
			}
		}()
		eventually(t, func() bool { s := e.Stats(); return s.Running+s.Waiting == i+1 })
	}
	cancel[0]()
	eventually(t, func() bool { return e.Stats().Started == 2 })
	stats := e.Stats()
	is.Equal(stats.StartedByRequest, map[string]int{"0": 1, "5": 1})
	is.Equal(stats.Cancelled, 1)
	is.Equal(stats.Peak, 3)
}

func TestEngine_ResumesEndedStream(t *testing.T) {
	is := is.New(t)
	_, url := serve(t, fastConfig())
	req := request(true, "hello")
	complete(is, url, req, engineapi.HeaderRequestID, "r1")
	resp, err := http.Get(url + "/v1/streams/r1?from=2")
	is.NoErr(err)
	content, _, done := readStream(is, resp)
	is.True(done)
	is.Equal(strings.Fields(content), engine.ExpectedWords(req)[2:])
}

func TestEngine_CrashMarkerAbortsAllRequests(t *testing.T) {
	is := is.New(t)
	c := blockedConfig()
	c.CrashMarker = "poison"
	e, url := serve(t, c)
	otherRequest := make(chan error, 1)
	go func() {
		resp, err := post(context.Background(), url+"/v1/chat/completions", request(true, "x"))
		if err == nil {
			resp.Body.Close()
		}
		otherRequest <- err
	}()
	eventually(t, func() bool { return e.Stats().Running == 1 })
	_, err := post(context.Background(), url+"/v1/chat/completions", request(true, "poison pill"))
	is.True(err != nil)
	is.True(<-otherRequest != nil)
	is.Equal(e.Stats().Crashes, 1)
	is.True(e.Load().Instance != "e1")
}

func TestEngine_OldFenceRefusedOnlyIfChecked(t *testing.T) {
	for _, check := range []bool{true, false} {
		is := is.New(t)
		c := fastConfig()
		c.CheckFence = check
		e, url := serve(t, c)
		var last int
		for _, fence := range []uint64{5, 4} {
			resp, err := post(context.Background(), url+"/v1/orders", engineapi.Order{Kind: "load_model", Name: "a", Fence: fence})
			is.NoErr(err)
			resp.Body.Close()
			last = resp.StatusCode
		}
		is.Equal(last == http.StatusConflict, check)
		is.Equal(e.Stats().StaleOrders == 1, !check)
	}
}

func TestEngine_LoadReportLag(t *testing.T) {
	is := is.New(t)
	c := fastConfig()
	c.ReportLag = time.Hour
	e, url := serve(t, c)
	complete(is, url, request(true, "hello"))
	e.SetLeaving(true)
	report := e.Load()
	is.Equal(report.CachedTokens, 0)
	is.True(!report.Leaving)
	is.Equal(report.AgeMs, time.Hour.Milliseconds())
}
