package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
)

// limitRecords refuses an append with a record that is larger than the settings allow, and passes all other calls on.
func limitRecords(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/v1/log-append" {
			next.ServeHTTP(writer, request)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		for rest := body; len(rest) >= 4; {
			size := int(binary.BigEndian.Uint32(rest))
			if size > recordBytes || 4+size > len(rest) {
				writer.WriteHeader(http.StatusRequestEntityTooLarge)
				return
			}
			rest = rest[4+size:]
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(writer, request)
	})
}
