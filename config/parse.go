package config

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Default values of settings that a document leaves out.
const (
	defaultSlots        = 8
	defaultConnections  = 64
	defaultTimeout      = 5 * time.Second
	defaultMaxBody      = 8 << 20
	defaultBatchLease   = 30 * time.Minute
	defaultWatchLease   = 2 * time.Minute
	defaultRetryRatio   = 0.1
	defaultKeepEnded    = 24 * time.Hour
	defaultKeepClaims   = 24 * time.Hour
	defaultWorkerSilent = 10 * time.Second
	defaultShare        = 1
)

// DefaultLease is the lease of a task whose kind has been removed from the configuration.
const DefaultLease = defaultBatchLease

// Bounds of settings. They reject values that are most likely typing errors.
const (
	maxSlots         = 4096
	maxConnections   = 65536
	maxTimeout       = time.Hour
	maxBodyBytes     = 1 << 30
	maxQueue         = 1 << 20
	maxLease         = 24 * time.Hour
	minLease         = 5 * time.Second
	maxRetention     = 30 * 24 * time.Hour
	maxPriority      = 1000
	maxMilliCPU      = 1 << 40
	maxDocumentBytes = 256 << 10
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Fault describes one error in a document and its position.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the fault as LINE:COLUMN: PATH: MESSAGE. The path is left out if it is empty.
func (fault Fault) String() string {
	if fault.Path == "" {
		return fmt.Sprintf("%d:%d: %s", fault.Line, fault.Column, fault.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", fault.Line, fault.Column, fault.Path, fault.Message)
}

// Faults is the error that Parse returns for an invalid document. It has at least one element.
type Faults []Fault

// Error returns all faults in one line.
func (faults Faults) Error() string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return "the configuration has faults; correct them and check again: " + strings.Join(lines, "; ")
}

// document is the structure into which the YAML is decoded. The YAML library's errors contain the
// name of this type and, for a value of the wrong type, its fields. They reach users as faults.
type document struct {
	Services map[string]struct {
		Kind        string        `yaml:"kind"`
		Slots       *int          `yaml:"slots"`
		Connections *int          `yaml:"connections"`
		Timeout     time.Duration `yaml:"timeout"`
		TargetP99   time.Duration `yaml:"target_p99"`
		MaxBody     size          `yaml:"max_body"`
		Queue       *int          `yaml:"queue"`
		Repeatable  bool          `yaml:"repeatable"`
	} `yaml:"services"`
	Kinds map[string]struct {
		Class      Class         `yaml:"class"`
		Priority   int           `yaml:"priority"`
		Lease      time.Duration `yaml:"lease"`
		MaxRunTime time.Duration `yaml:"max_run_time"`
		MaxPending int           `yaml:"max_pending"`
	} `yaml:"kinds"`
	Teams map[string]struct {
		Processors   float64 `yaml:"processors"`
		Memory       size    `yaml:"memory"`
		Accelerators int64   `yaml:"accelerators"`
		Share        float64 `yaml:"share"`
	} `yaml:"teams"`
	Limits struct {
		RetryRatio         *float64      `yaml:"retry_ratio"`
		KeepEnded          time.Duration `yaml:"keep_ended"`
		KeepClaims         time.Duration `yaml:"keep_claims"`
		WorkerSilent       time.Duration `yaml:"worker_silent"`
		ReservedProcessors float64       `yaml:"reserved_processors"`
	} `yaml:"limits"`
}

// size is a number of bytes, which the document gives with or without a unit.
type size int64

var sizePattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)\s*(B|KiB|MiB|GiB|TiB)?$`)

var sizeUnits = map[string]float64{"": 1, "B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}

// UnmarshalYAML decodes a size such as 512MiB.
func (s *size) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := ParseSize(node.Value)
	if err != nil {
		// The YAML library stops at any other error; it collects a TypeError together with those of
		// other values.
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %s", node.Line, err.Error())}}
	}
	*s = size(parsed)
	return nil
}

// ParseSize parses a number of bytes such as 1048576, 512MiB or 1.5GiB. A fraction of a byte is dropped.
func ParseSize(text string) (int64, error) {
	match := sizePattern.FindStringSubmatch(text)
	if match == nil {
		return 0, errors.Errorf("%q is not a size; write bytes or a unit, such as 512MiB", text)
	}
	number, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a size: %v", text, err)
	}
	scaled := number * sizeUnits[match[2]]
	if scaled >= math.MaxInt64 {
		return 0, errors.Errorf("%q is larger than any size", text)
	}
	return int64(scaled), nil
}

// Parse decodes and validates a document. If the document is invalid, the error is of type Faults.
func Parse(content []byte) (*Config, error) {
	if len(content) > maxDocumentBytes {
		return nil, Faults{{Message: fmt.Sprintf("the document has %d bytes; the most is %d", len(content), maxDocumentBytes)}}
	}
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return nil, syntaxFaults(err)
	}
	var doc document
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&doc); err != nil && !errors.Is(err, io.EOF) {
		return nil, syntaxFaults(err)
	}
	c := &checker{root: &root}
	config := c.convert(&doc)
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return config, nil
}

var yamlLinePattern = regexp.MustCompile(`line (\d+): (.*)`)

// syntaxFaults converts an error of the YAML library into faults. The library gives the line only
// as part of the message, and no column.
func syntaxFaults(err error) Faults {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	faults := make(Faults, 0, len(messages))
	for _, message := range messages {
		fault := Fault{Line: 1, Column: 1, Message: strings.TrimPrefix(message, "yaml: ")}
		if match := yamlLinePattern.FindStringSubmatch(message); match != nil {
			fault.Line, _ = strconv.Atoi(match[1])
			fault.Message = match[2]
		}
		faults = append(faults, fault)
	}
	return faults
}
