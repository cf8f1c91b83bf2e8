package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// keepAliveMargin is how long before the idle timeout callers are asked to stop
// reusing a connection, so that a request is not on its way when it is closed.
const keepAliveMargin = time.Second

// MinIdleTimeout is the shortest idle timeout that is announced to callers: Keep-Alive
// has whole seconds.
const MinIdleTimeout = keepAliveMargin + time.Second

// connHeaderWriter tells the caller, in the header of each response, how long the
// connection may be reused.
type connHeaderWriter struct {
	http.ResponseWriter
	h *Handler
}

// WriteHeader implements http.ResponseWriter.
func (w *connHeaderWriter) WriteHeader(status int) {
	w.h.setConnHeader(w.Header())
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the methods of the server's writer.
func (w *connHeaderWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// setConnHeader asks the caller to close the connection if the daemon is draining,
// also if the request was accepted before. Otherwise it announces after which idle
// time the connection must not be reused, in whole seconds.
func (h *Handler) setConnHeader(header http.Header) {
	if h.draining() {
		header.Set("Connection", "close")
		return
	}
	table := h.Catalog.View().Table
	if table == nil {
		return
	}
	if idle := table.Limits().IdleTimeout; idle >= MinIdleTimeout {
		reusable := idle - keepAliveMargin
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(reusable/time.Second)))
	}
}
