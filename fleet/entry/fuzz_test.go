package entry

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/prefixindex"
	"cassialatch.dev/outcome"
)

// FuzzChat checks that a chat request is either refused with the outcome "not
// run" or yields all values that placement, quarantine and admission require.
func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hei"}],"max_tokens":16,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{}]}`))
	f.Add([]byte(`{"model":"m","messages":[]}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":["part"]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":-1}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":4294967296}`))
	f.Add([]byte(`{"model":"m","messages":[{}],"max_tokens":9223372036854775807}`))
	f.Add([]byte(`{"model":"m","messages":[{}]}{}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := parseChat(body)
		if err != nil {
			if e := outcome.From(err); e.Outcome != outcome.NotRun || e.Code != outcome.CodeBadRequest {
				t.Fatalf("request refused with error %v, want outcome not-run and code bad_request", err)
			}
			return
		}
		prefixes := prefixindex.Prefixes(req.Model, req.Messages)
		c := &call{id: "id", workspace: &dynamic.Workspace{Name: "w"}, r: &http.Request{Header: http.Header{}}}
		if !strings.HasPrefix(chatKey(c, prefixes), "w/") || len(prefixes) != len(req.Messages) {
			t.Fatalf("got %d prefixes for %d messages, or a chat key without workspace", len(prefixes), len(req.Messages))
		}
		promptTokens := len(body) / bytesPerToken
		start := (*Server)(nil).newChatStart(c, req, maxDeadline, promptTokens)
		minCost := min(uint64(promptTokens)+uint64(max(1, req.MaxTokens)), math.MaxUint32)
		if uint64(start.Cost) < minCost || start.Fingerprint == 0 || start.Service == "" {
			t.Fatalf("invalid forward start %v for a request with max_tokens %d", start, req.MaxTokens)
		}
	})
}
