package main

import (
	"errors"
	"testing"
)

// Guards against a misspelt flag that silently changes what is refused.
func TestParseOverload(t *testing.T) {
	for value, want := range map[string]bool{"on": true, "off": false} {
		if got, err := parseOverload(value); err != nil || got != want {
			t.Errorf("%s: got %v, %v", value, got, err)
		}
	}
	for _, value := range []string{"", "ON", "true", "0"} {
		var bad *FlagError
		if _, err := parseOverload(value); !errors.As(err, &bad) || bad.Value != value {
			t.Errorf("%s: got %v", value, err)
		}
	}
}
