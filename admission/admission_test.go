package admission_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"ambertiller.example/ambertiller/admission"
)

var testCapacity = admission.Capacity{Slots: 2, Connections: 3, MilliCPU: 4000, MemoryBytes: 100, Accelerators: 1}

// reasonOf returns the reason of a refusal, or the empty reason for any other error and for nil.
func reasonOf(err error) admission.Reason {
	var refusal *admission.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason()
	}
	return ""
}

// TestTaskBounds requests resources from a gate that already runs one task.
func TestTaskBounds(t *testing.T) {
	tests := map[string]struct {
		requested admission.Resources
		want      admission.Reason
	}{
		"fits":             {admission.Resources{MilliCPU: 3000, MemoryBytes: 90, Accelerators: 1}, ""},
		"fits exactly":     {admission.Resources{MilliCPU: 3500, MemoryBytes: 95, Accelerators: 1}, ""},
		"processors":       {admission.Resources{MilliCPU: 3501}, admission.NoProcessor},
		"memory":           {admission.Resources{MemoryBytes: 96}, admission.NoMemory},
		"accelerators":     {admission.Resources{Accelerators: 2}, admission.NoAccelerator},
		"negative":         {admission.Resources{MilliCPU: -1}, admission.Invalid},
		"overflowing size": {admission.Resources{MemoryBytes: 1 << 62}, admission.NoMemory},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			gate := admission.NewGate(testCapacity)
			if err := gate.AdmitTask("first", admission.Resources{MilliCPU: 500, MemoryBytes: 5}); err != nil {
				t.Fatal(err)
			}
			if got := reasonOf(gate.AdmitTask("second", test.requested)); got != test.want {
				t.Errorf("unexpected reason %q", got)
			}
		})
	}
}

// TestSlots checks that requests beyond the number of slots are refused, and that releasing a slot twice
// frees it once.
func TestSlots(t *testing.T) {
	gate := admission.NewGate(testCapacity)
	var release func()
	for range testCapacity.Slots {
		var err error
		if release, err = gate.AdmitRequest(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := gate.AdmitRequest(); reasonOf(err) != admission.NoSlot {
		t.Errorf("request beyond the last slot: got error %v, want reason NoSlot", err)
	}
	release()
	release()
	if used := gate.Usage().Slots; used != 1 {
		t.Errorf("%d slots in use after one of two was released twice, want 1", used)
	}
}

// TestLeaving checks that a leaving gate refuses new work and reports idle only after the last request has
// ended.
func TestLeaving(t *testing.T) {
	gate := admission.NewGate(testCapacity)
	release, err := gate.AdmitRequest()
	if err != nil {
		t.Fatal(err)
	}
	idle := gate.Idle()
	gate.Leave()
	if _, err := gate.AdmitRequest(); reasonOf(err) != admission.Leaving {
		t.Errorf("request at a leaving gate: got error %v, want reason Leaving", err)
	}
	if err := gate.AdmitTask("a", admission.Resources{}); reasonOf(err) != admission.Leaving {
		t.Errorf("task at a leaving gate: got error %v, want reason Leaving", err)
	}
	select {
	case <-idle:
		t.Error("gate is idle while a request is in flight")
	default:
	}
	release()
	<-idle
}

// TestUsageStaysWithinCapacity checks after each of a random sequence of admissions and releases that usage
// neither exceeds the capacity nor becomes negative, also when something is released twice.
func TestUsageStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := admission.NewGate(testCapacity)
		var releases []func()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			task := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "task"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				_ = gate.AdmitTask(task, admission.Resources{
					MilliCPU:     rapid.Int64Range(0, 3000).Draw(t, "processors"),
					MemoryBytes:  rapid.Int64Range(0, 80).Draw(t, "memory"),
					Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators"),
				})
			case 1:
				gate.ReleaseTask(task)
			case 2:
				if release, err := gate.AdmitRequest(); err == nil {
					releases = append(releases, release)
				}
			case 3:
				if len(releases) > 0 {
					releases[rapid.IntRange(0, len(releases)-1).Draw(t, "which")]()
				}
			}
			checkUsage(t, gate.Usage())
		}
	})
}

// checkUsage fails the test if a used amount is negative or exceeds testCapacity.
func checkUsage(t *rapid.T, usage admission.Usage) {
	used := usage.Resources
	if usage.Slots < 0 || usage.Slots > testCapacity.Slots ||
		used.MilliCPU < 0 || used.MilliCPU > testCapacity.MilliCPU ||
		used.MemoryBytes < 0 || used.MemoryBytes > testCapacity.MemoryBytes ||
		used.Accelerators < 0 || used.Accelerators > testCapacity.Accelerators {
		t.Fatalf("usage %+v is negative or exceeds the capacity", usage)
	}
}

func ExampleGate() {
	gate := admission.NewGate(admission.Capacity{MilliCPU: 4000, MemoryBytes: 8 << 30})
	fmt.Println(gate.AdmitTask("transcription-1", admission.Resources{MilliCPU: 3000}))
	fmt.Println(gate.AdmitTask("transcription-2", admission.Resources{MilliCPU: 2000}))
	// Output:
	// <nil>
	// not enough processors: asked for 2000m, free 1000m
}
