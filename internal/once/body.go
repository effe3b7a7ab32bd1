package once

import (
	"bytes"
	"io"
	"net/http"
)

// setBody sets the body of req and its length. net/http sends a Content-Length of
// 0 for an empty body if the method usually has one.
func setBody(req *http.Request, body []byte) {
	req.ContentLength = int64(len(body))
	req.Body = http.NoBody
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
}
