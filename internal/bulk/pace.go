package bulk

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// pieceBytes is the size of the pieces in which answers are sent. One takes 6.6 ms on a
// link of 10 Mbit/s.
const pieceBytes = 8 << 10

// Paced returns a handler whose answers together use at most share of a link of the
// given bandwidth in Mbit/s, so that other messages pass between their pieces. Answers
// of one piece are not delayed, and without a bandwidth or a share none is.
func Paced(next http.Handler, linkMbps, share float64) http.Handler {
	if linkMbps <= 0 || share <= 0 {
		return next
	}
	limiter := rate.NewLimiter(rate.Limit(share*linkMbps*1e6/8), pieceBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		next.ServeHTTP(&pacedWriter{
			ResponseWriter: w,
			ctx:            req.Context(),
			wait:           limiter.WaitN,
		}, req)
	})
}

// pacedWriter writes an answer in pieces.
type pacedWriter struct {
	http.ResponseWriter
	ctx  context.Context
	wait func(ctx context.Context, n int) error
}

// Write implements io.Writer.
func (w *pacedWriter) Write(p []byte) (int, error) {
	if len(p) <= pieceBytes {
		return w.ResponseWriter.Write(p)
	}
	controller := http.NewResponseController(w.ResponseWriter)
	written := 0
	for written < len(p) {
		piece := p[written:min(written+pieceBytes, len(p))]
		if err := w.wait(w.ctx, len(piece)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		if err := controller.Flush(); err != nil {
			return written, err
		}
	}
	return written, nil
}
