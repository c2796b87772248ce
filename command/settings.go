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

// settings reads the flags of a role and collects everything that is wrong
// with them, so that an operator can mend it in one go.
type settings struct {
	command *cli.Command
	faults  []string
}

func (given *settings) addFault(flag, message string) {
	given.faults = append(given.faults, "--"+flag+" "+message)
}

// err names every fault at once.
func (given *settings) err() error {
	if len(given.faults) == 0 {
		return nil
	}
	return newUsageError("the settings have faults: %s; see `ambertiller help %s`", strings.Join(given.faults, "; "), given.command.Name)
}

func (given *settings) requiredString(flag string) string {
	value := given.command.String(flag)
	if value == "" {
		given.addFault(flag, "must be set")
	}
	return value
}

// listenAddress reads an IP number and port to listen on.
func (given *settings) listenAddress(flag string) string {
	value := given.command.String(flag)
	host, port, err := net.SplitHostPort(value)
	switch {
	case value == "":
		given.addFault(flag, "must be set to an IP number and port")
	case err != nil || port == "":
		given.addFault(flag, "must be an IP number and port such as 127.70.1.1:7201, not "+value)
	case net.ParseIP(host) == nil:
		given.addFault(flag, "must name an IP number, not "+host)
	}
	return value
}

// requiredURL reads the base URL of another process.
func (given *settings) requiredURL(flag string) string {
	value := given.command.String(flag)
	parsed, err := url.Parse(value)
	switch {
	case value == "":
		given.addFault(flag, "must be set to a URL")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		given.addFault(flag, "must be a URL such as http://127.70.0.1:7000, not "+value)
	}
	return strings.TrimSuffix(value, "/")
}

func (given *settings) optionalURL(flag string) string {
	if given.command.String(flag) == "" {
		return ""
	}
	return given.requiredURL(flag)
}

func (given *settings) durationInRange(flag string, least, most time.Duration) time.Duration {
	value := given.command.Duration(flag)
	if value < least || value > most {
		given.addFault(flag, "must be "+least.String()+" to "+most.String()+", not "+value.String())
	}
	return value
}

func (given *settings) intInRange(flag string, least, most int) int {
	value := given.command.Int(flag)
	if value < least || value > most {
		given.addFault(flag, "is out of bounds; see the help for its bounds")
	}
	return value
}

// openLogger opens the log that the flags ask for.
func (given *settings) openLogger() *event.Logger {
	logger, err := event.Open(os.Stderr, given.command.String("log-format"), given.command.String("log-level"))
	if err != nil {
		given.faults = append(given.faults, err.Error())
		return event.Discard()
	}
	return logger
}

// applyRuntimeLimits reads how many processors the role may use at once, and sets it.
//
// Performance: on a machine with many processors an idle Go process spends more
// on waking threads than a request costs; see docs/MEASUREMENTS.md.
func (given *settings) applyRuntimeLimits() {
	count := given.intInRange("processors", 1, maxProcessors)
	if len(given.faults) == 0 {
		runtime.GOMAXPROCS(count)
		debug.SetGCPercent(roleGCPercent)
		debug.SetMemoryLimit(roleMemoryLimit)
	}
}

// roleFlags are the flags that every role has.
func roleFlags(processors int) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log-format", Usage: "json or text", Value: "json", Sources: envVar("LOG_FORMAT")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: envVar("LOG_LEVEL")},
		&cli.IntFlag{Name: "processors", Usage: "processors that this process uses at once, 1 to 256", Value: processors, Sources: envVar("PROCESSORS")},
		&cli.StringFlag{Name: "otlp-endpoint", Usage: "URL to push metrics to by OTLP over HTTP", Sources: envVar("OTLP_ENDPOINT")},
		&cli.DurationFlag{Name: "stop-timeout", Usage: "bound of a planned stop", Value: defaultStopTimeout, Sources: envVar("STOP_TIMEOUT")},
		&cli.DurationFlag{Name: "leave-delay", Usage: "how long a planned stop waits for others to notice before it closes anything", Value: defaultLeaveDelay, Sources: envVar("LEAVE_DELAY")},
	}
}

const (
	defaultStopTimeout = 30 * time.Second
	defaultLeaveDelay  = 3 * time.Second
	maxStopTimeout     = 10 * time.Minute

	// roleGCPercent trades memory for processor time: a role that holds a few MiB
	// would otherwise collect many times a second. roleMemoryLimit makes collection
	// eager again well below the 128 MB that a node may use.
	roleGCPercent   = 400
	roleMemoryLimit = 96 << 20

	defaultEntryProcessors = 1
	defaultGuardProcessors = 1
	maxProcessors          = 256
)
