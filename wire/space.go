package wire

import "google.golang.org/protobuf/proto"

// Space is what a message has left for its parts, in bytes. The last part may exceed it, so that a part of any size is
// sent.
type Space struct{ Left int }

// Fit returns how many of the first parts of a list fit, and takes their space. part returns a part by its index.
func (space *Space) Fit(count int, part func(index int) proto.Message) int {
	for index := range count {
		if space.Left <= 0 {
			return index
		}
		space.Take(part(index))
	}
	return count
}

// Take takes the space of a part.
func (space *Space) Take(part proto.Message) { space.Left -= proto.Size(part) }
