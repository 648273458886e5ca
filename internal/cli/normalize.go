package cli

import (
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// endOfFlags is the argument after which no argument is a flag.
const endOfFlags = "--"

// argumentsEndFlags is the annotation of a command that parses no flags after its first argument.
const argumentsEndFlags = "pinedale/cli/arguments-end-flags"

// EndFlagsAtFirstArgument makes a command treat its first argument and everything after it as arguments, as package
// flag does. A command whose arguments are the command line of another program needs this.
func EndFlagsAtFirstArgument(command *cobra.Command) {
	command.Flags().SetInterspersed(false)
	if command.Annotations == nil {
		command.Annotations = map[string]string{}
	}
	command.Annotations[argumentsEndFlags] = "true"
}

// Normalize returns args with two dashes in front of each long flag that is written with one: "-name" becomes "--name"
// and "-name=value" becomes "--name=value".
//
// Earlier releases used package flag, which accepts one dash or two, and operators' scripts use one. Cobra would parse
// "-name" as the shorthands n, a, m and e.
//
// A name is recognized if it is a long flag of the command that args select, of one of its parents, or else of any
// command of root. A single letter that is a shorthand of the command remains a shorthand. Values of flags, such as
// "-5s" in "-offset -5s", arguments, everything after "--" and a shell's completion request are returned unchanged.
func Normalize(root *cobra.Command, args []string) []string {
	normalized := make([]string, 0, len(args))
	if len(args) > 0 && isCompletionRequest(args[0]) {
		return append(normalized, args...)
	}
	n := &normalizer{root: root, selecting: true}
	n.selectCommand(root)
	for len(args) > 0 {
		if !isFlag(args[0]) {
			n.consumeArgument(args[0])
		}
		if args[0] == endOfFlags || n.flagsEnded {
			return append(normalized, args...)
		}
		argument := n.normalize(args[0])
		normalized = append(normalized, argument)
		args = args[1:]
		if n.takesNextArgument(argument) && len(args) > 0 {
			normalized = append(normalized, args[0])
			args = args[1:]
		}
	}
	return normalized
}

// isCompletionRequest reports whether argument is the hidden command by which shells request completions from cobra.
func isCompletionRequest(argument string) bool {
	return argument == cobra.ShellCompRequestCmd || argument == cobra.ShellCompNoDescRequestCmd
}

// isFlag reports whether an argument that is not the value of a flag is a flag. A single dash is not.
func isFlag(argument string) bool {
	return len(argument) > 1 && argument[0] == '-'
}

// normalizer tracks the state of cobra's parser while it reads the arguments.
type normalizer struct {
	root       *cobra.Command
	command    *cobra.Command // selected by the arguments so far
	selecting  bool           // whether the next argument may name a subcommand
	flagsEnded bool           // whether only arguments follow
}

// selectCommand selects a command and adds the flags that cobra would add when it runs the command.
func (n *normalizer) selectCommand(command *cobra.Command) {
	command.InitDefaultHelpFlag()
	command.InitDefaultVersionFlag()
	n.command = command
	n.flagsEnded = command.DisableFlagParsing
}

// consumeArgument processes an argument that is not a flag: it selects a subcommand or is passed to the selected
// command.
func (n *normalizer) consumeArgument(argument string) {
	if n.selecting {
		for _, child := range n.command.Commands() {
			if child.Name() == argument || child.HasAlias(argument) {
				n.selectCommand(child)
				return
			}
		}
	}
	n.selecting = false
	n.flagsEnded = n.command.Annotations[argumentsEndFlags] != ""
}

// normalize returns an argument with two dashes if it is a long flag with one.
func (n *normalizer) normalize(argument string) string {
	if !isFlag(argument) || strings.HasPrefix(argument, "--") || n.isShorthand(argument) {
		return argument
	}
	if n.longFlag(argument[1:]) == nil {
		return argument
	}
	return "-" + argument
}

// isShorthand reports whether an argument is a single shorthand, "-o" or "-o=value".
func (n *normalizer) isShorthand(argument string) bool {
	name, _, _ := strings.Cut(argument[1:], "=")
	return len(name) == 1 && n.shorthand(name) != nil
}

// takesNextArgument reports whether a normalized argument is a flag whose value is the argument after it.
func (n *normalizer) takesNextArgument(argument string) bool {
	if !isFlag(argument) || strings.Contains(argument, "=") {
		return false
	}
	if !strings.HasPrefix(argument, "--") {
		return n.shorthandsTakeNextArgument(argument[1:])
	}
	flag := n.longFlag(argument[2:])
	return flag != nil && flag.NoOptDefVal == ""
}

// shorthandsTakeNextArgument reports whether the last of several shorthands takes the next argument as its value. The
// first shorthand that needs a value takes the letters after it, if there are any.
func (n *normalizer) shorthandsTakeNextArgument(letters string) bool {
	for i := range len(letters) {
		flag := n.shorthand(letters[i : i+1])
		if flag == nil {
			return false
		}
		if flag.NoOptDefVal == "" {
			return i == len(letters)-1
		}
	}
	return false
}

// longFlag returns the flag of a text "name" or "name=value": the flag of the selected command or of one of its
// parents, or else of the first command below root that has it.
func (n *normalizer) longFlag(text string) *pflag.Flag {
	name, _, _ := strings.Cut(text, "=")
	if flag := n.command.Flag(name); flag != nil {
		return flag
	}
	return findFlag(n.root, name)
}

// shorthand returns the flag of the selected command or one of its parents that has the shorthand letter, or nil.
func (n *normalizer) shorthand(letter string) *pflag.Flag {
	if flag := n.command.Flags().ShorthandLookup(letter); flag != nil {
		return flag
	}
	return n.command.InheritedFlags().ShorthandLookup(letter)
}

// findFlag returns the flag of a command or one of its subcommands that has a name, nil if there is none.
func findFlag(command *cobra.Command, name string) *pflag.Flag {
	if flag := command.Flag(name); flag != nil {
		return flag
	}
	for _, child := range command.Commands() {
		if flag := findFlag(child, name); flag != nil {
			return flag
		}
	}
	return nil
}
