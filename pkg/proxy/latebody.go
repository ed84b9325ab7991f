package proxy

import (
	"errors"
	"net/http"
	"os"
	"time"
)

// prefetch buffers a small body of a caller. A body that does not arrive within the time
// of the request is answered with 408; the request has not run.
func (s *requestState) prefetch(w http.ResponseWriter) (late bool) {
	// Only writers without support return an error, such as those of tests.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(s.call.Deadline)
	err := s.call.Body.Prefetch()
	_ = controller.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return false
	case !errors.Is(err, os.ErrDeadlineExceeded):
		s.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	}
	s.finish("body_late", http.StatusRequestTimeout)
	w.Header().Set("Connection", "close")
	writeEmpty(w, http.StatusRequestTimeout)
	return true
}
