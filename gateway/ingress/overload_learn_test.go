package ingress

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cassialatch.dev/gateway/admission"
	"cassialatch.dev/gateway/load"
)

// Guards against service times that are learnt from failures and refusals.
func TestHandler_LearnsServiceTimesFromSuccess(t *testing.T) {
	is := is.New(t)
	var mode atomic.Int32
	scripts := []func(*backend, *http.Request, net.Conn){
		respondOK, refuseRequest, func(_ *backend, req *http.Request, c net.Conn) {
			fmt.Fprintf(c, "HTTP/1.1 404 No\r\nId: %s\r\nSignature: x\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
		},
	}
	o := newOverloaded(t, func(b *backend, req *http.Request, c net.Conn) { scripts[mode.Load()](b, req, c) })
	slow := admission.Run{First: time.Minute, Total: time.Minute}
	o.handler.Admission = admission.New(time.Now, rand.Float64)
	for range 20 {
		o.handler.Admission.RecordRun("s", slow)
	}
	// As far as is known, no request can meet its deadline.
	for _, m := range []int32{1, 2} {
		mode.Store(m)
		o.setFree(true)
		_, _, err := o.do(t, "/safe/x")
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond) // beyond the time for which a refusal counts
		o.setFree(false)
		resp, _, err := o.do(t, "/safe/x")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	}
	mode.Store(0)
	o.setFree(true)
	_, _, err := o.do(t, "/safe/x")
	is.NoErr(err)
	o.setFree(false)
	resp, _, err := o.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Guards against a daemon that goes by old counts although the server has just refused a
// request because it is full.
func TestHandler_ReportsRefusalsToAdmission(t *testing.T) {
	is := is.New(t)
	o := newOverloaded(t, refuseRequest)
	o.setFree(true)
	is.True(o.handler.Admission.Calm())
	resp, _, err := o.do(t, "/safe/x")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(!o.handler.Admission.Calm())
}

// Guards against all daemons sending to the same server, which is the least loaded one by
// old counts, while capacity is insufficient.
func TestHandler_SpreadsRequestsWhileCapacityIsInsufficient(t *testing.T) {
	is := is.New(t)
	o := newOverloaded(t, respondOK)
	other := startBackend(t, respondOK)
	state := o.catalog.State()
	state.Revision = 3
	second := state.Servers[0]
	second.ID, second.Address = "b9", other.address
	state.Servers = append(slices.Clone(state.Servers), second)
	o.catalog.Adopt(state, nil, o.now())
	counts := func(first, second int) {
		servers := o.catalog.View().ByService["s"]
		o.handler.Loads.SetPeer("10.0.0.1", map[uint32]load.Work{servers[0].Tag(): {Requests: first}, servers[1].Tag(): {Requests: second}})
	}
	send := func() {
		for range 40 {
			resp, _, err := o.do(t, "/safe/x")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
		}
	}
	counts(0, 0) // sufficient
	send()
	is.Equal(other.runs.Load(), int32(0))
	counts(2, 3)
	send()
	is.True(other.runs.Load() > 0)
	is.True(o.backend.runs.Load() > 40)
}
