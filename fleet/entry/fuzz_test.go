package entry

import (
	"math"
	"net/http"
	"strings"
	"testing"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/warm"
	"cassialatch.dev/outcome"
)

// FuzzChat checks that a chat request is refused as not run or has all that
// placement, quarantine and admission need of it.
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
				t.Fatalf("refused with %v", err)
			}
			return
		}
		prefixes := warm.Prefixes(req.Model, req.Messages)
		c := &call{id: "id", workspace: &dynamic.Workspace{Name: "w"}, r: &http.Request{Header: http.Header{}}}
		if !strings.HasPrefix(chatKey(c, prefixes), "w/") || len(prefixes) != len(req.Messages) {
			t.Fatalf("%d prefixes of %d messages", len(prefixes), len(req.Messages))
		}
		promptTokens := len(body) / bytesPerToken
		start := (*Server)(nil).startChat(c, req, maxDeadline, promptTokens)
		least := min(uint64(promptTokens)+uint64(max(1, req.MaxTokens)), math.MaxUint32)
		if uint64(start.Cost) < least || start.Fingerprint == 0 || start.Service == "" {
			t.Fatalf("start %v of a request for %d tokens", start, req.MaxTokens)
		}
	})
}
