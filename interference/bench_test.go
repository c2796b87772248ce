package interference_test

import (
	"fmt"
	"testing"
	"time"

	"ambertiller.example/ambertiller/interference"
)

// BenchmarkObserve measures a reading, and the paces derived from it, of a worker with five serving tasks of
// the same image and with fill tasks of a varying number of images.
func BenchmarkObserve(b *testing.B) {
	for _, images := range []int{9, 18, 36} {
		b.Run(fmt.Sprintf("images=%d", images), func(b *testing.B) {
			model := interference.New(4 * time.Second)
			var servings []interference.ServingTask
			for index := range 5 {
				servings = append(servings, interference.ServingTask{Task: fmt.Sprint("s", index), Image: "s", TailMs: 20, TargetMs: 45})
			}
			var fills []interference.FillTask
			for index := range images {
				fills = append(fills, interference.FillTask{Task: fmt.Sprint("f", index), Image: fmt.Sprint("f", index), Cores: 2, UsedCores: 2})
			}
			reading := 0
			for b.Loop() {
				reading++
				model.Observe(servings, fills, startTime.Add(time.Duration(reading)*400*time.Millisecond))
				model.Paces(servings, fills)
			}
		})
	}
}
