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

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (conn countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.byteCount.Add(int64(count))
	return count, err
}

func (conn countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.byteCount.Add(int64(count))
	return count, err
}

// cpuTime returns the user and system CPU time of a process, which /proc counts in ticks of 10 ms.
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

// newReport returns the report that a guard with a number of tasks sends once a second.
func newReport(index, tasks int, startedAt time.Time) *wire.ReportRequest {
	report := &wire.ReportRequest{
		Worker: fmt.Sprintf("worker-%03d", index), Incarnation: "0199d0f2-7c3e-7000-8000-000000000000",
		UptimeNanos: time.Since(startedAt).Nanoseconds(), FailureDomain: "milano-a", Rack: "rack-1", Service: "verbale",
		Address: "127.0.0.1:1", Ready: true,
		Capacity:  &wire.Resources{MilliCpu: 32_000, MemoryBytes: 125 << 30, Accelerators: 2},
		Used:      &wire.Resources{MilliCpu: 12_345, MemoryBytes: 40 << 30, Accelerators: 1},
		Load:      &wire.Load{SlotsUsed: 3, Slots: 8, ConnectionsUsed: 3, Connections: 64, LatencyNanos: 12_345_678},
		Documents: []*wire.DocumentVersion{{Name: "config", Version: 1}},
	}
	for taskIndex := range tasks {
		report.Tasks = append(report.Tasks, &wire.TaskReport{
			Task: fmt.Sprintf("8f0b8b4e-6f0e-4c55-9a3e-%06d%06d", index, taskIndex), Attempt: 1, Phase: wire.TaskPhase_TASK_RUNNING,
		})
	}
	return report
}

// TestReportsAtSize simulates guards that report to one entry process, each over its own connection, and
// measures the CPU time, memory and traffic of the entry.
func TestReportsAtSize(t *testing.T) {
	const measureTime = 8 * time.Second
	for _, taskCount := range []int{0, 9} {
		for _, guardCount := range []int{11, 110, 550} {
			t.Run(fmt.Sprintf("%d guards of %d tasks", guardCount, taskCount), func(t *testing.T) {
				d := newDeployment(t, 1, 1, 0, readConfig(t))
				var byteCount, completed atomic.Int64
				dialer := &net.Dialer{}
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), measureTime+2*time.Second)
				defer cancel()
				var wg sync.WaitGroup
				for index := range guardCount {
					wg.Go(func() {
						pool := rpc.NewPoolWithDialFunc(func(ctx context.Context, address string) (net.Conn, error) {
							conn, err := dialer.DialContext(ctx, "tcp", address)
							return countingConn{Conn: conn, byteCount: &byteCount}, err
						})
						defer func() { _ = pool.Close() }()
						client := wire.NewDRPCEntryClient(pool.Conn(d.layout.Entry(1, standin.EntryRPCPort)))
						time.Sleep(time.Duration(index) * time.Second / time.Duration(guardCount))
						for ctx.Err() == nil {
							if _, err := client.Report(ctx, newReport(index, taskCount, startedAt)); err == nil {
								completed.Add(1)
							}
							time.Sleep(time.Second)
						}
					})
				}
				time.Sleep(2 * time.Second)
				bytesBefore, callsBefore, cpuBefore := byteCount.Load(), completed.Load(), cpuTime(t, d.entries[0])
				time.Sleep(measureTime)
				cpuUsed := cpuTime(t, d.entries[0]) - cpuBefore
				byteTotal, callCount := byteCount.Load()-bytesBefore, completed.Load()-callsBefore
				t.Logf("%.0f reports/s of %d bytes with framing and responses (message: %d bytes); entry: %.2f%% of a core, %.1f KB/s, peak resident memory %.0f MiB; each guard: %.2f KB/s per entry",
					float64(callCount)/measureTime.Seconds(), byteTotal/max(1, callCount), proto.Size(newReport(1, taskCount, startedAt)),
					100*cpuUsed.Seconds()/measureTime.Seconds(), float64(byteTotal)/measureTime.Seconds()/1000, peakResidentMiB(d.entries[0]),
					float64(byteTotal)/measureTime.Seconds()/1000/float64(guardCount))
				wg.Wait()
			})
		}
	}
}
