// Package respond holds the HTTP answers that all stand-ins share.
package respond

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// JSON answers 200 with v as JSON.
func JSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// DecodeJSON reads a JSON body of at most limit bytes into v and answers 400 when
// it cannot. It reads the body to its end, without which the server would not
// notice that the caller closes the connection.
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

// Abort closes the caller's connection without a clean end of the answer.
func Abort() {
	panic(http.ErrAbortHandler)
}

// ParseSwitch reads the query parameter "on"; it answers 400 and reports false as
// its second result when the parameter is no boolean.
func ParseSwitch(w http.ResponseWriter, r *http.Request) (on, ok bool) {
	on, err := strconv.ParseBool(r.URL.Query().Get("on"))
	if err != nil {
		http.Error(w, "on must be true or false", http.StatusBadRequest)
		return false, false
	}
	return on, true
}

// ParseFactor reads the query parameter "factor"; it answers 400 and reports false
// when the parameter is no positive number.
func ParseFactor(w http.ResponseWriter, r *http.Request) (float64, bool) {
	f, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || f <= 0 {
		http.Error(w, "factor must be a positive number", http.StatusBadRequest)
		return 0, false
	}
	return f, true
}
