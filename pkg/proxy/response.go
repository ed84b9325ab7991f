package proxy

import (
	"errors"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
)

// allowEarlyResponse permits writing a response before the request body has
// been read, since targets may respond early.
func allowEarlyResponse(w http.ResponseWriter) {
	// Only writers without support return an error, such as those of tests.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// promisesNotRun reports whether a status promises a caller that its request has not run and
// never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeEmpty writes a response without a body.
func writeEmpty(w http.ResponseWriter, status int) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

func writeRetryAfter(w http.ResponseWriter, after time.Duration) {
	writeRefusal(w, http.StatusServiceUnavailable, after)
}

// writeRefusal responds to a request that was not run, with the time after which to
// repeat it.
func writeRefusal(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	writeEmpty(w, status)
}

// writeResponse writes a target's response. After an error the caller may have
// received part of it, and its connection must be closed.
func writeResponse(w http.ResponseWriter, result *AttemptResult) error {
	h := w.Header()
	for name, values := range result.Header {
		h[name] = values
	}
	if _, ok := result.Header["Date"]; !ok {
		h["Date"] = nil // keeps the server from adding one
	}
	if _, ok := result.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if result.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(result.Length, 10))
	}
	w.WriteHeader(result.Status)
	return copyBody(w, result)
}

func copyBody(w http.ResponseWriter, result *AttemptResult) error {
	if whole, ok := result.Body.(io.WriterTo); ok && result.buffered {
		_, err := whole.WriteTo(w)
		return err
	}
	controller := http.NewResponseController(w)
	buffer := make([]byte, bodyCopyBuffer)
	for {
		n, err := result.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case result.Length < 0:
			// A stream of unknown length may pause for a long time.
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}

// ServerLog returns a logger that records the errors of an HTTP server as
// events.
func ServerLog(logger *zap.Logger) *log.Logger { return log.New(serverLog{logger}, "", 0) }

type serverLog struct{ logger *zap.Logger }

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	eventServerError.Log(l.logger, zap.String("error", strings.TrimSpace(string(p))))
	return len(p), nil
}
