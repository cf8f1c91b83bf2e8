package httpvalid

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against log lines as long as the head of a malformed response, whose errors quote what
// the server sent.
func TestFieldError_BoundsText(t *testing.T) {
	is := is.New(t)
	err := CheckHeader(http.Header{strings.Repeat("\x00", 16<<10): {"1"}})
	var field *FieldError
	is.True(errors.As(err, &field))
	is.True(len(err.Error()) < 1<<10)
}
