package platform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cassialatch.dev/standin/platform"
	"cassialatch.dev/wire/platformapi"
	"github.com/matryer/is"
)

func serve(t *testing.T, c platform.Config) (*platform.Platform, string) {
	p := platform.New(c)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server.URL
}

func get(t *testing.T, url string, into any) int {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && into != nil {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

func TestPlatform_WatchReturnsNewerDocument(t *testing.T) {
	is := is.New(t)
	p, url := serve(t, platform.Config{})
	is.Equal(get(t, url+"/v1/documents/site/junin", nil), http.StatusNotFound)
	is.Equal(p.PutDocument("site/junin", "a = 1", 0).Version, uint64(1))
	is.Equal(get(t, url+"/v1/documents/site/junin?after=1&wait_ms=1", nil), http.StatusNotModified)

	done := make(chan platformapi.Document)
	go func() {
		var doc platformapi.Document
		get(t, url+"/v1/documents/site/junin?after=1&wait_ms=60000", &doc)
		done <- doc
	}()
	req, err := http.NewRequest(http.MethodPut, url+"/control/documents/site/junin?version=9", strings.NewReader("a = 2"))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(<-done, platformapi.Document{Name: "site/junin", Version: 9, Body: "a = 2"})
}

func TestPlatform_VMListLag(t *testing.T) {
	is := is.New(t)
	p, url := serve(t, platform.Config{VMLag: time.Hour})
	p.PutVMs([]platformapi.VM{{ID: "a", State: platformapi.StateLive}})
	is.True(p.SetState("a", platformapi.StateLeaving))
	is.True(!p.SetState("b", platformapi.StateLeaving))
	var list platformapi.VMList
	is.Equal(get(t, url+"/v1/vms", &list), http.StatusOK)
	is.Equal(list.VMs[0].State, platformapi.StateLive) // the change becomes visible in an hour
}

func TestPlatform_StaleAndOutage(t *testing.T) {
	is := is.New(t)
	p, url := serve(t, platform.Config{})
	p.PutDocument("base", "old", 0)
	p.SetStale(true)
	p.PutDocument("base", "new", 0)
	var doc platformapi.Document
	get(t, url+"/v1/documents/base", &doc)
	is.Equal(doc.Body, "old")
	p.SetStale(false)
	get(t, url+"/v1/documents/base", &doc)
	is.Equal(doc.Body, "new")

	p.SetOutage(true)
	_, err := http.Get(url + "/v1/documents/base")
	is.True(err != nil) // the connection was closed
	is.True(p.Calls().Dropped >= 1)
}

func TestPlatform_RateLimit(t *testing.T) {
	is := is.New(t)
	p, url := serve(t, platform.Config{ReadsPerSecond: 0.001})
	p.PutDocument("base", "", 0)
	is.Equal(get(t, url+"/v1/documents/base", nil), http.StatusOK)
	is.Equal(get(t, url+"/v1/documents/base", nil), http.StatusTooManyRequests)
	is.Equal(p.Calls().Limited, uint64(1))
}
