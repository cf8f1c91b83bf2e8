// Package respond provides helpers for the HTTP handlers of the stand-ins.
package respond

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// JSON responds with status 200 and v as JSON.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// DecodeJSON decodes a JSON body of at most limit bytes into v. On failure it
// responds with status 400 and reports false. It reads the body to its end, since
// otherwise the server does not detect that the caller closes the connection.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort closes the caller's connection without completing the response. It panics
// with http.ErrAbortHandler.
func Abort() {
	panic(http.ErrAbortHandler)
}

// ParseSwitch parses the query parameter "on". If it is not a boolean, ParseSwitch
// responds with status 400 and ok is false.
func ParseSwitch(w http.ResponseWriter, r *http.Request) (on, ok bool) {
	on, err := strconv.ParseBool(r.URL.Query().Get("on"))
	if err != nil {
		http.Error(w, "on must be true or false", http.StatusBadRequest)
		return false, false
	}
	return on, true
}

// ParseFactor parses the query parameter "factor". If it is not a positive number,
// ParseFactor responds with status 400 and reports false.
func ParseFactor(w http.ResponseWriter, r *http.Request) (float64, bool) {
	f, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || f <= 0 {
		http.Error(w, "factor must be a positive number", http.StatusBadRequest)
		return 0, false
	}
	return f, true
}
