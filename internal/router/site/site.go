// Package site reads the operator's file: a Starlark script that enables and configures the optional features of a router. The file
// is optional, and a feature whose section is missing stays disabled.
//
// The script is hermetic: it cannot load other files or read a clock, and ends after a bounded number of steps. It calls site
// once, with a named argument for each section:
//
//	site(storm = storm(ceiling = 1.1, horizon = seconds(5)))
//
// The arguments are validated against a JSON schema. Errors name the file, the line and the setting. Start reading at Parse.
package site

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"portflow/internal/retryguard"
	"portflow/internal/router/flow/ipfix"
)

// Config is a valid operator's file. A nil section is disabled.
type Config struct {
	Storm *retryguard.Tuning `json:"storm"`
	Flows *Flows             `json:"flows"`
}

// Flows are the settings of flow export. Durations are in nanoseconds. The schema documents each setting and its bounds.
type Flows struct {
	Collectors []string `json:"collectors"` // such as "udp://10.0.0.9:4739"; each gets all records
	Protocol   string   `json:"protocol"`   // "ipfix" or "netflow9"
	Domain     uint32   `json:"domain"`
	Enterprise uint32   `json:"enterprise"`
	Active     int64    `json:"active"`
	Idle       int64    `json:"idle"`
	Memory     int      `json:"memory"`
	Refresh    int64    `json:"refresh"`
	MTU        int      `json:"mtu"`
}

// DefaultFlows returns the settings of a flows section without explicit settings. They have no collectors, which are required.
func DefaultFlows() Flows {
	return Flows{Protocol: "ipfix", Domain: 1, Enterprise: ipfix.Documentation, Active: 60e9, Idle: 15e9, Memory: 1 << 20, Refresh: 600e9, MTU: 1400}
}

//go:embed schema.json
var schema []byte

// Schema returns a copy of the JSON schema (draft 2020-12) of the arguments of site.
func Schema() []byte { return bytes.Clone(schema) }

// maxFileBytes is the maximum size of a script, far more than all settings need.
const maxFileBytes = 256 << 10

// Read reads and parses the file at path.
func Read(path string) (Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return Config{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > maxFileBytes {
		return Config{}, fmt.Errorf("%s: more than %d bytes", path, maxFileBytes)
	}
	return Parse(path, text)
}

// Parse runs a script and validates its arguments of site. name is the name of the file in errors.
func Parse(name string, text []byte) (Config, error) {
	call, err := runScript(name, text)
	if err != nil {
		return Config{}, err
	}
	if err := validate(call); err != nil {
		return Config{}, err
	}
	raw, err := json.Marshal(call.fields)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", name, err)
	}
	var config Config
	if _, has := call.fields["storm"]; has {
		tuning := retryguard.Defaults()
		config.Storm = &tuning
	}
	if _, has := call.fields["flows"]; has {
		flows := DefaultFlows()
		config.Flows = &flows
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return Config{}, fmt.Errorf("%s: %w", name, err)
	}
	if config.Storm != nil && !config.Storm.On {
		config.Storm = nil
	}
	return config, nil
}

// validate checks the arguments of site against the schema. The error has one line for each violation.
func validate(call siteCall) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("site.json", doc); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	compiled, err := c.Compile("site.json")
	if err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	var invalid *jsonschema.ValidationError
	if err = compiled.Validate(call.fields); !errors.As(err, &invalid) {
		return err
	}
	var errs []error
	printer := message.NewPrinter(language.English)
	var collect func(*jsonschema.ValidationError)
	collect = func(e *jsonschema.ValidationError) {
		for _, cause := range e.Causes {
			collect(cause)
		}
		if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range unknown.Properties {
				path := append(slices.Clone(e.InstanceLocation), name)
				errs = append(errs, fmt.Errorf("%s: site.%s: no such setting", call.positionOf(path), strings.Join(path, ".")))
			}
		} else if len(e.Causes) == 0 {
			errs = append(errs, fmt.Errorf("%s: %s: %s", call.positionOf(e.InstanceLocation),
				strings.Join(append([]string{"site"}, e.InstanceLocation...), "."), e.ErrorKind.LocalizedString(printer)))
		}
	}
	collect(invalid)
	return errors.Join(errs...)
}
