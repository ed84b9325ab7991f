package proxy

import (
	"errors"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"
)

// allowEarlyAnswer lets an answer be written before the request body was read:
// targets may answer early.
func allowEarlyAnswer(w http.ResponseWriter) {
	// Only writers that cannot do it return an error, such as those of tests.
	_ = http.NewResponseController(w).EnableFullDuplex()
}

// writeEmpty writes an answer without a body.
func writeEmpty(w http.ResponseWriter, status int) {
	h := w.Header()
	h["Date"], h["Content-Type"] = nil, nil
	h.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// deliver writes a target's answer. After an error the caller has got a part
// of it, and its connection must be closed.
func deliver(w http.ResponseWriter, a *Answer) error {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil // the server would add one
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	return copyBody(w, a)
}

func copyBody(w http.ResponseWriter, a *Answer) error {
	controller := http.NewResponseController(w)
	buffer := make([]byte, bodyCopyBuffer)
	for {
		n, err := a.Body.Read(buffer)
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
		case a.Length < 0:
			// A stream of unknown length may pause for long.
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}

// ServerLog turns the reports of an HTTP server into log events.
func ServerLog(logger *zap.Logger) *log.Logger { return log.New(serverLog{logger}, "", 0) }

type serverLog struct{ logger *zap.Logger }

// Write implements io.Writer.
func (l serverLog) Write(p []byte) (int, error) {
	eventServerError.Log(l.logger, zap.String("error", strings.TrimSpace(string(p))))
	return len(p), nil
}
