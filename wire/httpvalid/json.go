package httpvalid

import (
	"encoding/json"
	"errors"
	"io"
)

// ErrTrailingData is returned for a JSON body that goes on after its value.
var ErrTrailingData = errors.New("data after the JSON value of the response")

// DecodeJSON decodes a body, which must be one JSON value, into v. It reads to the end of the
// body, so that one that breaks off after the value, or whose trailers are malformed, is an
// error, too. Errors are ErrTrailingData and those of json.Decoder and of the body.
func DecodeJSON(body io.Reader, v any) error {
	d := json.NewDecoder(body)
	if err := d.Decode(v); err != nil {
		return err
	}
	return CheckEnd(d)
}

// CheckEnd returns an error unless the decoder has only white space left to read.
func CheckEnd(d *json.Decoder) error {
	_, err := d.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return ErrTrailingData
}
