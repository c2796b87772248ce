package instances_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"ambertiller.example/ambertiller/instances"
)

const listBody = `[{"name":"entry-1","role":"entry","address":"127.0.0.1:1","failure_domain":"a","state":"live"}]`

// platform serves one list under one tag and counts how often it sends it.
type platform struct {
	status int
	tag    string
	sent   int
	asked  []string
}

// ServeHTTP implements http.Handler.
func (fake *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	fake.asked = append(fake.asked, request.URL.Query().Get("role"))
	if fake.tag != "" {
		writer.Header().Set("ETag", fake.tag)
	}
	if fake.tag != "" && request.Header.Get("If-None-Match") == fake.tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	fake.sent++
	writer.WriteHeader(fake.status)
	_, _ = writer.Write([]byte(listBody))
}

func TestList(t *testing.T) {
	tests := map[string]struct {
		fake  platform
		sent  int
		fails bool
	}{
		"unchanged, with a tag": {platform{status: http.StatusOK, tag: `"1"`}, 1, false},
		"without tags":          {platform{status: http.StatusOK}, 3, false},
		"failing":               {platform{status: http.StatusInternalServerError}, 3, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(&test.fake)
			defer server.Close()
			client := instances.NewClient(server.URL, http.DefaultClient)
			for range 3 {
				list, err := client.List(context.Background(), instances.Entry)
				if (err != nil) != test.fails || (!test.fails && (len(list) != 1 || list[0].Name != "entry-1")) {
					t.Fatalf("got %v, %v", list, err)
				}
			}
			if test.fake.sent != test.sent || test.fake.asked[0] != "entry" {
				t.Errorf("the list was sent %d times, asked for %v", test.fake.sent, test.fake.asked)
			}
		})
	}
}
