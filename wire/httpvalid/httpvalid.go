// Package httpvalid rejects HTTP/1.1 responses that net/http accepts although they are
// malformed (RFC 9110 and 9112).
//
// net/http keeps a field whose name has a blank, but under a name that nothing looks up. If
// that was to state the length or the encoding of the body, the body ends elsewhere or has
// bytes of its framing. It also returns statuses that HTTP does not have.
package httpvalid

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// StatusError is returned for a response with a status that HTTP does not have, below 100, or
// with 101 (Switching Protocols), which no request asks for.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response with invalid status %d", e.Status)
}

// VersionError is returned for a response of another major version of HTTP than 1.
type VersionError struct{ Proto string }

// Error implements error.
func (e *VersionError) Error() string { return fmt.Sprintf("response of version %q", e.Proto) }

// ErrAmbiguousFraming is returned for a head that has Transfer-Encoding beside Content-Length
// or in HTTP/1.0, so that it is uncertain where the body ends.
var ErrAmbiguousFraming = errors.New("response with ambiguous framing")

// FieldError is returned for a field with an invalid name, in a head or in the trailers.
type FieldError struct{ Name string }

// maxNameText limits the bytes of a name that the text of a FieldError quotes.
const maxNameText = 64

// Error implements error.
func (e *FieldError) Error() string {
	if len(e.Name) > maxNameText {
		return fmt.Sprintf("response with invalid field name %q...", e.Name[:maxNameText])
	}
	return fmt.Sprintf("response with invalid field name %q", e.Name)
}

// CheckHeader returns a *FieldError if the name of a field is invalid.
func CheckHeader(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &FieldError{Name: name}
		}
	}
	return nil
}

// CheckHead checks the head of a response, which may be an informational one. It returns a
// *StatusError, a *VersionError or a *FieldError.
func CheckHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols:
		return &StatusError{Status: r.StatusCode}
	case r.ProtoMajor != 1:
		return &VersionError{Proto: r.Proto}
	}
	return CheckHeader(r.Header)
}

// CheckLines checks the bytes of a head, up to and including its empty line. It returns a
// *FieldError for a line that begins with a blank: net/http adds it to the value of the field
// before it (obsolete line folding), which hides the field that the line may be. It returns
// ErrAmbiguousFraming for what net/http ignores.
func CheckLines(head []byte) error {
	var length, encoding bool
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if line[0] == ' ' || line[0] == '\t' {
			return &FieldError{Name: string(name)}
		}
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		encoding = encoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	if encoding && (length || bytes.HasPrefix(head, []byte("HTTP/1.0 "))) {
		return ErrAmbiguousFraming
	}
	return nil
}

// CheckTrailers makes the body of a response return a *FieldError in place of io.EOF if the
// name of a trailer field is invalid.
func CheckTrailers(r *http.Response) {
	if len(r.TransferEncoding) > 0 { // no other body has trailers
		r.Body = &chunkedBody{ReadCloser: r.Body, response: r}
	}
}

// chunkedBody is the body of a response that may have trailers.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckHeader(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
