//go:build measure

package measure_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/standin"
	"ambertiller.example/ambertiller/wire"
)

// countingConn counts the bytes of a connection, both ways.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (conn countingConn) Read(into []byte) (int, error) {
	count, err := conn.Conn.Read(into)
	conn.byteCount.Add(int64(count))
	return count, err
}

func (conn countingConn) Write(from []byte) (int, error) {
	count, err := conn.Conn.Write(from)
	conn.byteCount.Add(int64(count))
	return count, err
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, process *exec.Cmd) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat)[strings.LastIndex(string(stat), ")")+1:])
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// newReport is what a guard with a number of tasks says once a second.
func newReport(index, tasks int, began time.Time) *wire.ReportRequest {
	report := &wire.ReportRequest{
		Worker: fmt.Sprintf("worker-%03d", index), Incarnation: "0199d0f2-7c3e-7000-8000-000000000000",
		UptimeNanos: time.Since(began).Nanoseconds(), FailureDomain: "milano-a", Rack: "rack-1", Service: "verbale",
		Address: "127.0.0.1:1", Ready: true,
		Capacity:  &wire.Resources{MilliCpu: 32_000, MemoryBytes: 125 << 30, Accelerators: 2},
		Used:      &wire.Resources{MilliCpu: 12_345, MemoryBytes: 40 << 30, Accelerators: 1},
		Load:      &wire.Load{SlotsUsed: 3, Slots: 8, ConnectionsUsed: 3, Connections: 64, LatencyNanos: 12_345_678},
		Documents: []*wire.DocumentVersion{{Name: "config", Version: 1}},
	}
	for number := range tasks {
		report.Tasks = append(report.Tasks, &wire.TaskReport{
			Task: fmt.Sprintf("8f0b8b4e-6f0e-4c55-9a3e-%06d%06d", index, number), Attempt: 1, Phase: wire.TaskPhase_TASK_RUNNING,
		})
	}
	return report
}

// TestReportsAtSize lets guards report to one entry process, each over its own
// connection, and measures what the entry spends.
func TestReportsAtSize(t *testing.T) {
	const span = 8 * time.Second
	for _, tasks := range []int{0, 9} {
		for _, guards := range []int{11, 110, 550} {
			t.Run(fmt.Sprintf("%d guards of %d tasks", guards, tasks), func(t *testing.T) {
				made := newDeployment(t, 1, 1, 0, readConfig(t))
				var bytes, calls atomic.Int64
				dialer := &net.Dialer{}
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), span+2*time.Second)
				defer cancel()
				var running sync.WaitGroup
				for index := range guards {
					running.Go(func() {
						pool := rpc.NewPoolWithDialFunc(func(ctx context.Context, address string) (net.Conn, error) {
							raw, err := dialer.DialContext(ctx, "tcp", address)
							return countingConn{Conn: raw, byteCount: &bytes}, err
						})
						defer func() { _ = pool.Close() }()
						client := wire.NewDRPCEntryClient(pool.Conn(made.layout.Entry(1, standin.EntryRPCPort)))
						time.Sleep(time.Duration(index) * time.Second / time.Duration(guards))
						for ctx.Err() == nil {
							if _, err := client.Report(ctx, newReport(index, tasks, began)); err == nil {
								calls.Add(1)
							}
							time.Sleep(time.Second)
						}
					})
				}
				time.Sleep(2 * time.Second)
				bytesBefore, callsBefore, cpuBefore := bytes.Load(), calls.Load(), cpuTime(t, made.entries[0])
				time.Sleep(span)
				cpu := cpuTime(t, made.entries[0]) - cpuBefore
				sent, made2 := bytes.Load()-bytesBefore, calls.Load()-callsBefore
				t.Logf("reports %.0f/s of %d bytes (message %d); entry: %.2f%% of a core, %.1f KB/s, resident %.0f MiB; a guard: %.2f KB/s for one entry",
					float64(made2)/span.Seconds(), sent/max(1, made2), proto.Size(newReport(1, tasks, began)),
					100*cpu.Seconds()/span.Seconds(), float64(sent)/span.Seconds()/1000, peakResidentMiB(made.entries[0]),
					float64(sent)/span.Seconds()/1000/float64(guards))
				running.Wait()
			})
		}
	}
}
