package ingress

import "net/http"

// drainWriter asks the caller to close the connection after a response whose
// header is written while the daemon is draining, also if the request was
// accepted before.
type drainWriter struct {
	http.ResponseWriter
	draining func() bool
}

// WriteHeader implements http.ResponseWriter.
func (w *drainWriter) WriteHeader(status int) {
	if w.draining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the methods of the server's writer.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
