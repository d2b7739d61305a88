package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"brasswell/internal/config"
)

func (e *env) schemaVerb() *cobra.Command {
	c := &cobra.Command{
		Use:   "schema",
		Short: "Print the operator file's JSON Schema, its reference page or an example",
		Long: "Prints what the operator file may hold: as JSON Schema for editors (json, the default), as the reference page\n" +
			"(markdown), or as a file with every setting at its default, commented out (toml).",
		Example: "  brasswell schema > operator.schema.json\n  brasswell schema --format toml > operator.toml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			format := e.format
			if !c.Flags().Changed("format") {
				format = "json"
			}
			if err := oneOf("format", format, "json", "markdown", "toml"); err != nil {
				return err
			}
			s, err := config.DefaultOperator().Schema()
			if err != nil {
				return err
			}
			switch format {
			case "markdown":
				fmt.Fprint(e.out, s.Reference())
			case "toml":
				fmt.Fprint(e.out, s.Example())
			default:
				text, err := s.JSONSchema()
				if err != nil {
					return err
				}
				fmt.Fprintf(e.out, "%s\n", text)
			}
			return nil
		},
	}
	return c
}
