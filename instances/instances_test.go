package instances_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"ambertiller.example/ambertiller/instances"
)

const listBody = `[{"name":"entry-1","role":"entry","address":"127.0.0.1:1","failure_domain":"a","state":"live"}]`

// fakePlatform serves one list under one entity tag and counts how often it sends the list.
type fakePlatform struct {
	status         int
	etag           string
	listsSent      int
	requestedRoles []string
}

// ServeHTTP implements http.Handler.
func (fake *fakePlatform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	fake.requestedRoles = append(fake.requestedRoles, request.URL.Query().Get("role"))
	if fake.etag != "" {
		writer.Header().Set("ETag", fake.etag)
	}
	if fake.etag != "" && request.Header.Get("If-None-Match") == fake.etag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	fake.listsSent++
	writer.WriteHeader(fake.status)
	_, _ = writer.Write([]byte(listBody))
}

// TestList checks that an unchanged list with an entity tag is transferred only once.
func TestList(t *testing.T) {
	tests := map[string]struct {
		fake        fakePlatform
		listsSent   int
		expectError bool
	}{
		"unchanged, with a tag": {fakePlatform{status: http.StatusOK, etag: `"1"`}, 1, false},
		"without tags":          {fakePlatform{status: http.StatusOK}, 3, false},
		"server error":          {fakePlatform{status: http.StatusInternalServerError}, 3, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&test.fake)
			defer server.Close()
			client := instances.NewClient(server.URL, http.DefaultClient)
			for range 3 {
				list, err := client.List(context.Background(), instances.Entry)
				if (err != nil) != test.expectError || (!test.expectError && (len(list) != 1 || list[0].Name != "entry-1")) {
					t.Fatalf("got list %v, error %v", list, err)
				}
			}
			if test.fake.listsSent != test.listsSent || test.fake.requestedRoles[0] != "entry" {
				t.Errorf("list sent %d times, requested for roles %v", test.fake.listsSent, test.fake.requestedRoles)
			}
		})
	}
}
