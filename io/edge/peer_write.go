package edge

import (
	"io"
	"net/http"
	"strconv"
)

// suppressDefaults keeps the HTTP server of the link address from adding headers to a backend server's response.
func suppressDefaults(h http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if len(h[name]) == 0 {
			h[name] = nil
		}
	}
}

// writePeerResponse writes a response to the peer that has forwarded the request. A body that breaks off closes the
// connection, so that it does not look complete.
func writePeerResponse(w http.ResponseWriter, status int, length int64, body []byte, stream io.ReadCloser) {
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(status)
	_, err := w.Write(body)
	if stream == nil {
		return
	}
	defer func() { _ = stream.Close() }()
	if err == nil {
		_, err = io.Copy(w, stream)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
