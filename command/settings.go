package command

import (
	"net"
	"net/url"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/event"
)

// settings reads the flags of a command and collects all their faults, so that an
// operator can correct them together.
type settings struct {
	command *cli.Command
	faults  []string
}

func (flags *settings) addFault(flag, message string) {
	flags.faults = append(flags.faults, "--"+flag+" "+message)
}

// err returns all faults as one usage error, or nil if there are none.
func (flags *settings) err() error {
	if len(flags.faults) == 0 {
		return nil
	}
	return newUsageError("the settings have faults: %s; see `ambertiller help %s`", strings.Join(flags.faults, "; "), flags.command.Name)
}

// requiredString returns the value of a flag that must not be empty.
func (flags *settings) requiredString(flag string) string {
	value := flags.command.String(flag)
	if value == "" {
		flags.addFault(flag, "must be set")
	}
	return value
}

// listenAddress returns the value of a flag that must be an IP address and port to listen on.
func (flags *settings) listenAddress(flag string) string {
	value := flags.command.String(flag)
	host, port, err := net.SplitHostPort(value)
	switch {
	case value == "":
		flags.addFault(flag, "must be set to an IP number and port")
	case err != nil || port == "":
		flags.addFault(flag, "must be an IP number and port such as 127.70.1.1:7201, not "+value)
	case net.ParseIP(host) == nil:
		flags.addFault(flag, "must name an IP number, not "+host)
	}
	return value
}

// requiredURL returns the base URL of another process without a trailing slash. The flag must be
// set to a URL with the scheme http or https.
func (flags *settings) requiredURL(flag string) string {
	value := flags.command.String(flag)
	parsed, err := url.Parse(value)
	switch {
	case value == "":
		flags.addFault(flag, "must be set to a URL")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		flags.addFault(flag, "must be a URL such as http://127.70.0.1:7000, not "+value)
	}
	return strings.TrimSuffix(value, "/")
}

// optionalURL is like requiredURL, but returns an empty string if the flag is not set.
func (flags *settings) optionalURL(flag string) string {
	if flags.command.String(flag) == "" {
		return ""
	}
	return flags.requiredURL(flag)
}

// durationInRange returns the value of a flag that must be from minValue to maxValue.
func (flags *settings) durationInRange(flag string, minValue, maxValue time.Duration) time.Duration {
	value := flags.command.Duration(flag)
	if value < minValue || value > maxValue {
		flags.addFault(flag, "must be "+minValue.String()+" to "+maxValue.String()+", not "+value.String())
	}
	return value
}

// intInRange returns the value of a flag that must be from minValue to maxValue. The fault refers
// to the help text, which has to state these bounds.
func (flags *settings) intInRange(flag string, minValue, maxValue int) int {
	value := flags.command.Int(flag)
	if value < minValue || value > maxValue {
		flags.addFault(flag, "is out of bounds; see the help for its bounds")
	}
	return value
}

// openLogger returns a logger to standard error with the format and level that the flags select.
func (flags *settings) openLogger() *event.Logger {
	logger, err := event.Open(os.Stderr, flags.command.String("log-format"), flags.command.String("log-level"))
	if err != nil {
		flags.faults = append(flags.faults, err.Error())
		return event.Discard()
	}
	return logger
}

// applyRuntimeLimits sets how many processors the Go runtime uses at once, from the flag
// --processors, and configures the garbage collector. It has no effect if the flags have faults.
//
// Performance: on a machine with many processors, a Go process that is idle and may use all of
// them spends more time on waking threads than a request costs; see docs/MEASUREMENTS.md.
func (flags *settings) applyRuntimeLimits() {
	count := flags.intInRange("processors", 1, maxProcessors)
	if len(flags.faults) == 0 {
		runtime.GOMAXPROCS(count)
		debug.SetGCPercent(roleGCPercent)
		debug.SetMemoryLimit(roleMemoryLimit)
	}
}

// roleFlags returns the flags that entries and guards have in common. processors is the default
// of --processors.
func roleFlags(processors int) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log-format", Usage: "json or text", Value: "json", Sources: envVar("LOG_FORMAT")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: envVar("LOG_LEVEL")},
		&cli.IntFlag{Name: "processors", Usage: "number of processors that this process uses at once, 1 to 256", Value: processors, Sources: envVar("PROCESSORS")},
		&cli.StringFlag{Name: "otlp-endpoint", Usage: "URL to push metrics to by OTLP over HTTP", Sources: envVar("OTLP_ENDPOINT")},
		&cli.DurationFlag{Name: "stop-timeout", Usage: "time limit of a planned stop", Value: defaultStopTimeout, Sources: envVar("STOP_TIMEOUT")},
		&cli.DurationFlag{Name: "leave-delay", Usage: "how long a planned stop waits for other processes to notice it before it closes anything", Value: defaultLeaveDelay, Sources: envVar("LEAVE_DELAY")},
	}
}

const (
	defaultStopTimeout = 30 * time.Second
	defaultLeaveDelay  = 3 * time.Second
	maxStopTimeout     = 10 * time.Minute

	// roleGCPercent trades memory for processor time: at the default of 100, a role that uses a
	// few MiB collects garbage many times a second. roleMemoryLimit makes collections frequent
	// again well below the 128 MB that a node may use.
	roleGCPercent   = 400
	roleMemoryLimit = 96 << 20

	defaultEntryProcessors = 1
	defaultGuardProcessors = 1
	maxProcessors          = 256
)
