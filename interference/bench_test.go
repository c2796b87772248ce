package interference_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// BenchmarkReading is one reading of a worker with five serving tasks of one image,
// with the paces that follow, beside filling tasks of so many images.
func BenchmarkReading(b *testing.B) {
	for _, images := range []int{9, 18, 36} {
		b.Run(fmt.Sprintf("images=%d", images), func(b *testing.B) {
			model := interference.New(4 * time.Second)
			var servings []interference.Serving
			for index := range 5 {
				servings = append(servings, interference.Serving{Task: fmt.Sprint("s", index), Image: "s", Tail: 20, Target: 45})
			}
			var fills []interference.Fill
			for index := range images {
				fills = append(fills, interference.Fill{Task: fmt.Sprint("f", index), Image: fmt.Sprint("f", index), Cores: 2, Used: 2})
			}
			reading := 0
			for b.Loop() {
				reading++
				model.Observe(servings, fills, now.Add(time.Duration(reading)*400*time.Millisecond))
				model.Paces(servings, fills)
			}
		})
	}
}
