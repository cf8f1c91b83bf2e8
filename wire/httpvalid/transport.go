package httpvalid

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// ErrInformationalTooLarge is returned if the heads of informational responses together exceed
// http.Transport.MaxResponseHeaderBytes.
var ErrInformationalTooLarge = errors.New("informational responses exceed the size limit")

// Transport is an http.Transport whose RoundTrip fails for malformed responses, also for
// informational ones, with the errors of CheckHead. The body of a response with malformed
// trailers does not end with io.EOF. What CheckLines looks for is not seen.
// MaxResponseHeaderBytes must be set.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	i := &informational{left: t.MaxResponseHeaderBytes}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{Got1xxResponse: i.check})
	resp, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	CheckTrailers(resp)
	return resp, nil
}

// informational checks the informational responses to a request, which net/http limits only
// one by one if somebody looks at them.
type informational struct {
	left int64 // bytes that further heads may have
}

// statusLineBytes is what a head has beside its reason phrase and its fields.
const statusLineBytes = len("HTTP/1.1 100 \r\n\r\n")

// fieldOverhead is what a line has beside name and value.
const fieldOverhead = len(":\r\n")

// check implements httptrace.ClientTrace.Got1xxResponse.
func (i *informational) check(code int, h textproto.MIMEHeader) error {
	i.left -= int64(statusLineBytes + len(http.StatusText(code)))
	for name, values := range h {
		for _, v := range values {
			i.left -= int64(len(name) + len(v) + fieldOverhead)
		}
	}
	if i.left < 0 {
		return ErrInformationalTooLarge
	}
	return CheckHeader(http.Header(h))
}
