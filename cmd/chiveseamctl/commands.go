package main

import (
	"context"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/chiveseam/chiveseam/edge"
	"github.com/chiveseam/chiveseam/internal/operator"
)

// environment is what a command uses apart from its flags.
type environment struct {
	ctx    context.Context
	stdout io.Writer
}

// group is a command that only has subcommands.
type group struct{}

// newParser returns a command line parser with all commands. Parsing a command line executes
// the command that it names.
func newParser(env *environment) (*flags.Parser, error) {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	groups := []struct {
		name, short string
		commands    []command
	}{
		{"questionnaire", "Check a questionnaire or generate a configuration from it", []command{
			{"check", "Report all mistakes of a questionnaire", &checkCommand{env: env}},
			{"generate", "Write the configuration that a questionnaire describes", &generateCommand{env: env}},
		}},
		{"config", "Validate or compare configurations", []command{
			{"validate", "Report all mistakes of a configuration", &validateCommand{env: env}},
			{"diff", "Tell what changes from one configuration to another", &diffCommand{env: env}},
			{"check", "Report mistakes, contradictions and differences of a configuration before it is sent", &configCheckCommand{env: env}},
		}},
	}
	for _, g := range groups {
		parent, err := parser.AddCommand(g.name, g.short, "", &group{})
		if err != nil {
			return nil, err
		}
		if err := addCommands(parent, g.commands); err != nil {
			return nil, err
		}
	}
	return parser, addCommands(parser.Command, []command{
		{"status", "Show routers, pools, targets and refusals", &statusCommand{env: env}},
		{"top", "Show what workspaces deserve and receive", &topCommand{env: env}},
	})
}

// command is the name, the help text and the flags of a command.
type command struct {
	name, short string
	// data is a pointer to a struct of flags, which implements flags.Commander.
	data any
}

// addCommands adds subcommands to parent.
func addCommands(parent *flags.Command, commands []command) error {
	for _, c := range commands {
		if _, err := parent.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

// fileArgument is the argument of commands that take one file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// checkCommand checks a questionnaire and prints a summary of its configuration.
type checkCommand struct {
	env  *environment
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	generated, err := operator.Generate(c.Args.File)
	if err != nil {
		return err
	}
	return operator.PrintSummary(c.env.stdout, generated)
}

// generateCommand writes the configuration of a questionnaire.
type generateCommand struct {
	env    *environment
	Output string       `short:"o" long:"output" value-name:"OUT" description:"File to write; standard output if it is not given"`
	JSON   bool         `long:"json" description:"Write readable JSON in place of the serialized form"`
	Args   fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *generateCommand) Execute([]string) error {
	generated, err := operator.Generate(c.Args.File)
	if err != nil {
		return err
	}
	content := generated.Payload
	if c.JSON {
		content, err = operator.EncodeConfigurationJSON(generated.Proto)
		if err != nil {
			return err
		}
	}
	return operator.WriteFile(c.Output, content, c.env.stdout)
}

// validateCommand validates a configuration as routers do and prints a summary.
type validateCommand struct {
	env  *environment
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	valid, err := operator.Validate(c.Args.File)
	if err != nil {
		return err
	}
	return operator.PrintSummary(c.env.stdout, valid)
}

// diffCommand prints the changes from one configuration to another.
type diffCommand struct {
	env  *environment
	Args struct {
		Old string `positional-arg-name:"OLD" required:"yes"`
		New string `positional-arg-name:"NEW" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	from, err := operator.ReadConfiguration(c.Args.Old)
	if err != nil {
		return err
	}
	to, err := operator.ReadConfiguration(c.Args.New)
	if err != nil {
		return err
	}
	return operator.PrintDiff(c.env.stdout, from, to)
}

// configCheckCommand checks a configuration of the project or of the platform.
type configCheckCommand struct {
	env         *environment
	InForce     string       `long:"in-force" value-name:"FILE" description:"Configuration in force, to compare with"`
	ZoneRegions string       `long:"zone-regions" value-name:"ZONE=REGION,..." description:"Regions of the availability zones, for the check of allowed regions"`
	JSON        bool         `long:"json" description:"Write the result as JSON"`
	Args        fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute(rest []string) error {
	if len(rest) > 0 {
		return usageError("config check: want one FILE")
	}
	regions, err := edge.ParseZoneRegions(c.ZoneRegions)
	if err != nil {
		return usageError(err.Error())
	}
	if len(regions) == 0 {
		regions = nil
	}
	result, err := operator.CheckConfiguration(c.Args.File, c.InForce, regions)
	if err != nil {
		return err
	}
	if err := operator.PrintCheck(c.env.stdout, result, c.JSON); err != nil {
		return err
	}
	return result.Err()
}
