package wirestore

import (
	"encoding/json"
	"fmt"
)

// Route is a queue of a configuration in the format of the platform.
type Route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Service    string  `json:"service"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Extension  float64 `json:"extension"`
}

// NewRoute returns a route for a path prefix of a host.
func NewRoute(name, host, pathPrefix, service string) Route {
	const attempts, extension = 3, 1.5
	return Route{Name: name, Host: host, PathPrefix: pathPrefix, Service: service, Attempts: attempts, Extension: extension}
}

// Configuration returns a configuration as operators write it. Further routes that no request asks for are added until
// it has about size bytes.
func Configuration(version int, routes []Route, size int) []byte {
	const routeBytes = 150 // of a further route, encoded
	for number := range size / routeBytes {
		name := fmt.Sprintf("filler-route-%016d", number)
		routes = append(routes, NewRoute(name, "filler.example", "/"+name+"/", "filler"))
	}
	text, err := json.Marshal(struct {
		Version int     `json:"version"`
		Routes  []Route `json:"routes"`
	}{version, routes})
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return text
}
