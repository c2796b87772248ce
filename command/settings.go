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
	from   *cli.Command
	faults []string
}

func (given *settings) fault(flag, message string) {
	given.faults = append(given.faults, "--"+flag+" "+message)
}

// err names every fault at once.
func (given *settings) err() error {
	if len(given.faults) == 0 {
		return nil
	}
	return usage("the settings have faults: %s; see `ambertiller help %s`", strings.Join(given.faults, "; "), given.from.Name)
}

func (given *settings) text(flag string) string {
	value := given.from.String(flag)
	if value == "" {
		given.fault(flag, "must be set")
	}
	return value
}

// address reads an IP number and port to listen on.
func (given *settings) address(flag string) string {
	value := given.from.String(flag)
	host, port, err := net.SplitHostPort(value)
	switch {
	case value == "":
		given.fault(flag, "must be set to an IP number and port")
	case err != nil || port == "":
		given.fault(flag, "must be an IP number and port such as 127.70.1.1:7201, not "+value)
	case net.ParseIP(host) == nil:
		given.fault(flag, "must name an IP number, not "+host)
	}
	return value
}

// link reads the base URL of another process.
func (given *settings) link(flag string) string {
	value := given.from.String(flag)
	parsed, err := url.Parse(value)
	switch {
	case value == "":
		given.fault(flag, "must be set to a URL")
	case err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https"):
		given.fault(flag, "must be a URL such as http://127.70.0.1:7000, not "+value)
	}
	return strings.TrimSuffix(value, "/")
}

func (given *settings) optionalLink(flag string) string {
	if given.from.String(flag) == "" {
		return ""
	}
	return given.link(flag)
}

func (given *settings) duration(flag string, least, most time.Duration) time.Duration {
	value := given.from.Duration(flag)
	if value < least || value > most {
		given.fault(flag, "must be "+least.String()+" to "+most.String()+", not "+value.String())
	}
	return value
}

func (given *settings) between(flag string, least, most int) int {
	value := given.from.Int(flag)
	if value < least || value > most {
		given.fault(flag, "is out of bounds; see the help for its bounds")
	}
	return value
}

// events opens the log that the flags ask for.
func (given *settings) events() *event.Logger {
	logger, err := event.Open(os.Stderr, given.from.String("log-format"), given.from.String("log-level"))
	if err != nil {
		given.faults = append(given.faults, err.Error())
		return event.Discard()
	}
	return logger
}

// processors reads how many processors the role may use at once, and sets it.
//
// Performance: on a machine with many processors an idle Go process spends more
// on waking threads than a request costs; see docs/MEASUREMENTS.md.
func (given *settings) processors() {
	count := given.between("processors", 1, mostProcessors)
	if len(given.faults) == 0 {
		runtime.GOMAXPROCS(count)
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(softMemory)
	}
}

// roleFlags are the flags that every role has.
func roleFlags(processors int) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log-format", Usage: "json or text", Value: "json", Sources: env("LOG_FORMAT")},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info", Sources: env("LOG_LEVEL")},
		&cli.IntFlag{Name: "processors", Usage: "processors that this process uses at once, 1 to 256", Value: processors, Sources: env("PROCESSORS")},
		&cli.StringFlag{Name: "otlp-endpoint", Usage: "URL to push metrics to by OTLP over HTTP", Sources: env("OTLP_ENDPOINT")},
		&cli.DurationFlag{Name: "stop-timeout", Usage: "bound of a planned stop", Value: defaultStop, Sources: env("STOP_TIMEOUT")},
		&cli.DurationFlag{Name: "leave-delay", Usage: "how long a planned stop waits for others to notice before it closes anything", Value: defaultLeave, Sources: env("LEAVE_DELAY")},
	}
}

const (
	defaultStop  = 30 * time.Second
	defaultLeave = 3 * time.Second
	longestStop  = 10 * time.Minute

	// gcPercent trades memory for processor time: a role that holds a few MiB
	// would otherwise collect many times a second. softMemory makes collection
	// eager again well below the 128 MB that a node may use.
	gcPercent  = 400
	softMemory = 96 << 20

	entryProcessors = 1
	guardProcessors = 1
	mostProcessors  = 256
)
